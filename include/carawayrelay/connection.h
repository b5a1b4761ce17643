#pragma once

// Public header of the connection library: types that live for one connection.

#include "connection/backend_view.h"
#include "connection/batch_capacity_shares.h"
#include "connection/concurrency_window.h"
#include "connection/ended_attempts.h"
#include "connection/fence_tracker.h"
#include "connection/message.h"
#include "connection/rate_message.h"
#include "connection/stream_assembler.h"
#include "connection/wire_codec.h"
