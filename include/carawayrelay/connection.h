#pragma once

// Public header of the connection library: what lives for one connection.

#include "connection/message.h"
#include "connection/wire_codec.h"
