#pragma once

// Public header of the connection library: types that live for one connection.

#include "connection/attempt_memory.h"
#include "connection/backend_view.h"
#include "connection/concurrency_window.h"
#include "connection/fence_book.h"
#include "connection/message.h"
#include "connection/room_shares.h"
#include "connection/stream_assembler.h"
#include "connection/wire_codec.h"
