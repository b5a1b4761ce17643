#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Parses "IP:port" or "[IPv6]:port". Host names are refused with kInvalid,
// because processes find each other by IP address.
Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace carawayrelay
