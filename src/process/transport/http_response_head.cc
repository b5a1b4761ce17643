#include "process/transport/http_response_head.h"

#include <array>
#include <cstdio>

namespace carawayrelay {
namespace {

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 499:
      return "Client Closed Request";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace

std::string EncodeResponseHead(int status,
                               const HttpHeaders& headers,
                               std::optional<size_t> body_bytes,
                               bool keeps_connection) {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status);
  head += keeps_connection ? "\r\nConnection: keep-alive\r\n"
                           : "\r\nConnection: close\r\n";
  for (const auto& [name, value] : headers) {
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  head += body_bytes ? "Content-Length: " + std::to_string(*body_bytes)
                     : "Transfer-Encoding: chunked";
  head += "\r\n\r\n";
  return head;
}

std::string EncodeChunk(const std::string& data) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string chunk = size.data();
  chunk.reserve(chunk.size() + data.size() + 2);
  chunk += data;
  chunk += "\r\n";
  return chunk;
}

}  // namespace carawayrelay
