#pragma once

#include <cstdint>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Finds free TCP ports on 127.0.0.1, all different. They are free again when
// the function returns, so another process could take one.
Result<std::vector<std::uint16_t>> FindFreePorts(size_t count);

// True when something listens on the port of 127.0.0.1.
bool IsListening(std::uint16_t port);

}  // namespace carawayrelay::tools
