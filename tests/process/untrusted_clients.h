#pragma once

#include <string>
#include <vector>

#include "process/untrusted_frontend_fixture.h"

namespace carawayrelay {

// One kind of client that does not keep to the limits of HTTP servers.
struct UntrustedClientKind {
  std::string name;
  std::string head;
  std::string repeat;
  size_t bytes_per_connection;
};

inline std::vector<UntrustedClientKind> UntrustedClientKinds() {
  using Fixture = UntrustedFrontendFixture;
  constexpr size_t kMegabyte = Fixture::kMegabyte;
  const std::string payload(Fixture::kPayloadBytes, 'x');
  return {
      {"head without end", "GET / HTTP/1.1\r\n",
       Fixture::Repeat("a:b\r\n", Fixture::kPayloadBytes), kMegabyte},
      {"head that stops short", "GET / HTTP/1.1\r\n",
       Fixture::Repeat("a:b\r\n", Fixture::kPayloadBytes), 60000},
      {"empty lines without end", "\r\n",
       Fixture::Repeat("\r\n", Fixture::kPayloadBytes), 4 * kMegabyte},
      {"chunks of one byte", Fixture::Post("Transfer-Encoding: chunked"),
       Fixture::SmallChunks(), 2 * kMegabyte},
      {"large chunks that stop short",
       Fixture::Post("Transfer-Encoding: chunked"), Fixture::LargeChunk(),
       4 * kMegabyte},
      {"large chunks without end", Fixture::Post("Transfer-Encoding: chunked"),
       Fixture::LargeChunk(), 12 * kMegabyte},
      {"body that stops short", Fixture::Post("Content-Length: 4194304"),
       payload, 4 * kMegabyte},
      {"announced body over the limit",
       Fixture::Post("Content-Length: 1099511627776"), payload, 8 * kMegabyte},
      {"pipelined requests, responses not read", "\r\n",
       Fixture::Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                       Fixture::kPayloadBytes),
       4 * kMegabyte},
  };
}

}  // namespace carawayrelay
