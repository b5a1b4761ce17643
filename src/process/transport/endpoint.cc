#include "process/transport/endpoint.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace carawayrelay {

Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const Error invalid{ErrorCode::kInvalid,
                      "'" + address + "' is not an IP address and port"};
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return invalid;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  asio::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (error || begin == end || parsed.ec != std::errc() || parsed.ptr != end) {
    return invalid;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace carawayrelay
