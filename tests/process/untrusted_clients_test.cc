#include <doctest/doctest.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "process/descriptor_limit.h"
#include "process/untrusted_frontend_fixture.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Connects to `port`, sends `request` in parts with a pause before each but the
// first, and returns all that the server sends until it closes.
std::string Exchange(std::uint16_t port,
                     const std::vector<std::string>& parts,
                     milliseconds pause = milliseconds(0)) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::error_code error;
  for (const std::string& part : parts) {
    asio::write(socket, asio::buffer(part), error);
    if (&part != &parts.back()) {
      std::this_thread::sleep_for(pause);
    }
  }
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

// Guards against limits that refuse a request of an ordinary client: 16 KiB of
// headers and a body of 4 MiB, which the request memory of the smallest VM
// must hold.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, largest allowed request on the smallest VM, is "
                  "served") {
  Start();
  CHECK(IsServed(std::string(4 * kMegabyte, 'x')));
  watch->Observe();
  watch->Check(1);
}

// Guards against the same for a body of unknown length in chunks of 4 KiB.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, largest allowed request in chunks, is served") {
  Start();
  constexpr size_t kChunks = 1024;
  std::string request = Post(
      "Transfer-Encoding: chunked\r\nX-Api-Key: key\r\n"
      "X-Carawayrelay-Request-Id: r\r\n"
      "X-Carawayrelay-Deadline-Ms: 20000\r\nConnection: close\r\n"
      "X-Long: " +
      std::string(15000, 'h'));
  for (size_t i = 0; i < kChunks; ++i) {
    request += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  }
  request += "0\r\n\r\n";
  const std::string answer = Exchange(port, {request});
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with(std::to_string(4 * kMegabyte)));
  watch->Observe();
  watch->Check(1);
}

// Guards against memory that grows with heads that have no end.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, heads without end, stays within its memory") {
  Start();
  Check(kSmallCrowd, "GET / HTTP/1.1\r\n", Repeat("a:b\r\n", kPayloadBytes),
        kMegabyte);
}

// Guards against small fields that cost many times their bytes: 79 KB of them
// stay below the limit of the parser for a head.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, heads of small fields that stop short, stays "
                  "within its memory") {
  Start();
  Check(kLargeCrowd, "GET / HTTP/1.1\r\n", Repeat("a:b\r\n", kPayloadBytes),
        79000);
}

// Guards against a connection that is kept busy by empty lines without end.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, empty lines without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, "\r\n", Repeat("\r\n", kPayloadBytes), 4 * kMegabyte);
}

// Guards against chunks that cost more than their bytes: one frontend had
// 1,650 MB resident with 60 connections.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, chunks of one byte, stays within its memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), 2 * kMegabyte);
}

// Guards against the same with many connections of few bytes each.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, chunks of one byte on many connections, stays "
                  "within its memory") {
  Start();
  Check(kLargeCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), kMegabyte / 4);
}

// Guards against chunked bodies that stop short and are held without a limit
// on their sum.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, large chunks that stop short, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        "10000\r\n" + std::string(0x10000, 'x') + "\r\n", 4 * kMegabyte);
}

// Guards against bodies far over the limit that are not announced.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, large chunks without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        "10000\r\n" + std::string(0x10000, 'x') + "\r\n", 12 * kMegabyte);
}

// Guards against announced bodies within the limit that stop short.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, bodies that stop short, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Content-Length: 4194304"),
        std::string(kPayloadBytes, 'x'), 4 * kMegabyte);
}

// Guards against announced bodies far over the limit.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, announced bodies over the limit, stays within "
                  "its memory") {
  Start();
  Check(kSmallCrowd, Post("Content-Length: 1099511627776"),
        std::string(kPayloadBytes, 'x'), 8 * kMegabyte);
}

// Guards against a port beside the client port that has no limits.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, chunks of one byte on the readiness port, stays "
                  "within its memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), 2 * kMegabyte, ready_port);
}

// Guards against requests that are read ahead without a limit while the
// client reads no responses.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, pipelined requests without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, "\r\n",
        Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", kPayloadBytes),
        4 * kMegabyte);
}

// Guards against a server that accepts no connection any more once the
// descriptors of the process have been used up, and against clients that leave
// no descriptors for the store and the backend servers.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, more connections than descriptors, serves "
                  "afterwards") {
  constexpr rlim_t kDescriptors = 300;
  {
    const ScopedDescriptorLimit limit(kDescriptors);
    Start();
  }
  Check(kLargeCrowd, "G", "E", 1);
}

// The fields of a request that is served.
constexpr const char* kServed =
    "X-Api-Key: key\r\nX-Carawayrelay-Request-Id: r\r\n"
    "X-Carawayrelay-Deadline-Ms: 30000\r\nConnection: close";

// Guards against memory beside the bytes that count: freed memory that stays
// resident, reserved memory and copies.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, many bodies that stop just short, stays within "
                  "its memory") {
  Start();
  Check(kLargeCrowd, Post("Content-Length: 4194304"),
        std::string(kPayloadBytes, 'x'), 4 * kMegabyte);
}

// Guards against the same for bodies whose length is not announced.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, many chunked bodies that stop short, stays within "
                  "its memory") {
  Start();
  Check(kLargeCrowd, Post("Transfer-Encoding: chunked"), LargeChunk(),
        4 * kMegabyte);
}

// Guards against the same for chunked bodies that have no end.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, many chunked bodies without end, stays within its "
                  "memory") {
  Start();
  Check(kLargeCrowd, Post("Transfer-Encoding: chunked"), LargeChunk(),
        12 * kMegabyte);
}

// Guards against copies of complete bodies on their way to the backend server,
// and against their sum.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, many large requests at once, stays within its "
                  "memory") {
  Start();
  const std::string head = Post(
      "Content-Length: 4194304\r\nX-Api-Key: key\r\n"
      "X-Carawayrelay-Request-Id: r\r\n"
      "X-Carawayrelay-Deadline-Ms: 30000");
  Check(kLargeCrowd, head, std::string(kPayloadBytes, 'x'),
        head.size() + 4 * kMegabyte, port, /*backend_connections=*/kLargeCrowd);
}

// Guards against input that waits in the sockets while a request is served,
// and against responses that wait there because nobody reads them.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, many clients that pipeline and read nothing, "
                  "stays within its memory") {
  Start();
  Check(kLargeCrowd, "\r\n",
        Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", kPayloadBytes),
        kMegabyte);
}

// Guards against large responses that wait in the process.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, large responses that nobody reads, stays within "
                  "its memory") {
  Start();
  const std::string request =
      "GET /x/large/ HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key\r\n"
      "X-Carawayrelay-Request-Id: r\r\nX-Carawayrelay-Deadline-Ms: 30000"
      "\r\n\r\n";
  Check(kLargeCrowd, request, "\r\n", request.size(), port,
        /*backend_connections=*/kLargeCrowd);
}

// Guards against small bodies that fill the memory of requests and are never
// the largest, so that the ordinary request is the one that is refused. They
// trickle, so that no time limit for a silent client closes them.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, small bodies that trickle, serves a large "
                  "request") {
  constexpr size_t kSmallBody = 40000;
  Start();
  ClientCrowd crowd({.port = port,
                     .connections = kLargeCrowd,
                     .head = Post("Content-Length: 60000"),
                     .repeat = std::string(kPayloadBytes, 'x'),
                     .bytes_per_connection = kSmallBody});
  crowd.Run([this] { watch->Observe(); });
  crowd.RunWhileTrickling(
      [this] { CHECK(IsServed(std::string(4 * kMegabyte, 'x'))); });
  watch->Check(kLargeCrowd);
}

// Guards against a body over the limit of the configuration that is stored
// until it is complete: the refusal must not wait for the end of the body.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, body over the configured limit, is refused before "
                  "its end") {
  PutConfig({{"maxBodyBytes", 1000}});
  Start();
  const std::string announced =
      Exchange(port, {Post("Content-Length: 2000") + std::string(1001, 'x')});
  CHECK(announced.starts_with("HTTP/1.1 413"));
  const std::string chunked =
      Exchange(port, {Post("Transfer-Encoding: chunked") + "3e9\r\n" +
                      std::string(1001, 'x') + "\r\n"});
  CHECK(chunked.starts_with("HTTP/1.1 413"));
}

// Guards against the same for a head.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, head over the configured limit, is refused before "
                  "its end") {
  PutConfig({{"maxHeaderBytes", 2000}});
  Start();
  const std::string answer =
      Exchange(port, {"GET /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: " +
                      std::string(4000, 'x')});
  CHECK(answer.starts_with("HTTP/1.1 431"));
}

// Guards against limits of the program that are lower than those that the
// configuration allows to clients.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, sizes up to higher configured limits, are "
                  "served") {
  PutConfig({{"maxBodyBytes", 12 * kMegabyte}, {"maxHeaderBytes", 131072}});
  Start();
  CHECK(IsServed(std::string(12 * kMegabyte, 'x')));
  const std::string answer = Exchange(
      port, {Post(std::string(kServed) + "\r\nContent-Length: 0\r\nX-Long: " +
                  std::string(100000, 'x'))});
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against the same for the time that a head may take.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, head slower than the default within the "
                  "configured limit, is served") {
  PutConfig({{"headerTimeoutMs", 60000}});
  Start();
  const std::string request =
      Post(std::string(kServed) + "\r\nContent-Length: 0");
  const std::string answer = Exchange(
      port, {request.substr(0, 20), request.substr(20)}, milliseconds(4500));
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against the same for the time between two requests.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, idle longer than the default within the "
                  "configured limit, is served") {
  PutConfig({{"idleTimeoutMs", 600000}});
  Start();
  const std::string answer =
      Exchange(port, {"", Post(std::string(kServed) + "\r\nContent-Length: 0")},
               milliseconds(32000));
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace carawayrelay
