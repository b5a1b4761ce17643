#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Parses "IP:port" or "[IPv6]:port". Fails with kInvalid for anything else.
// Host names are not accepted, because processes address each other by IP.
Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace carawayrelay
