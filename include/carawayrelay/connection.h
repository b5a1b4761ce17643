#pragma once

// Public header of the connection library: what lives for one connection.

#include "connection/backend_view.h"
#include "connection/message.h"
#include "connection/stream_assembler.h"
#include "connection/wire_codec.h"
