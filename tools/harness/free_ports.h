#pragma once

#include <cstdint>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Finds `count` different free TCP ports on 127.0.0.1. They are not reserved
// after the function returns, so another process could bind one of them. Fails
// with kUnavailable when no port can be bound.
Result<std::vector<std::uint16_t>> FindFreePorts(size_t count);

// Whether a connection to 127.0.0.1:`port` succeeds.
bool IsListening(std::uint16_t port);

}  // namespace carawayrelay::tools
