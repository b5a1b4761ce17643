#include "process/transport/datagram_socket.h"

#include <doctest/doctest.h>

#include <chrono>

#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct DatagramSocketFixture {
  static constexpr const char* kFirst = "127.0.0.1:39311";
  static constexpr const char* kSecond = "127.0.0.1:39312";

  Ring<Datagram> received{16};

  Result<std::unique_ptr<DatagramSocket>> Make(const std::string& address) {
    return DatagramSocket::Make(address, [this](Datagram datagram) {
      received.TryPush(std::move(datagram));
    });
  }
};

// Guards against answers that cannot be returned: the sender's address must be
// the one that it listens on.
TEST_CASE_FIXTURE(DatagramSocketFixture,
                  "DatagramSocket, datagram sent, arrives with its sender") {
  const auto first = Make(kFirst);
  const auto second = Make(kSecond);
  REQUIRE(first);
  REQUIRE(second);
  REQUIRE(first.value()->Send(kSecond, "hello"));
  const auto datagram =
      received.PopUntil(BootClock::now() + milliseconds(5000));
  REQUIRE(datagram);
  CHECK(datagram->bytes == "hello");
  CHECK(datagram->from == kFirst);
}

// Guards against a stop that waits for a datagram.
TEST_CASE_FIXTURE(DatagramSocketFixture,
                  "DatagramSocket, nothing received, stops at once") {
  const auto socket = Make(kFirst);
  REQUIRE(socket);
  const TimePoint before = BootClock::now();
  socket.value()->Stop();
  CHECK(BootClock::now() - before < milliseconds(2000));
}

// Guards against two processes that share an address unnoticed.
TEST_CASE_FIXTURE(DatagramSocketFixture,
                  "DatagramSocket, address in use or malformed, fails") {
  const auto first = Make(kFirst);
  REQUIRE(first);
  const auto second = Make(kFirst);
  REQUIRE_FALSE(second);
  CHECK(second.error().code == ErrorCode::kUnavailable);
  CHECK_FALSE(Make("nowhere"));
  CHECK_FALSE(first.value()->Send("nowhere", "x"));
}

}  // namespace
}  // namespace carawayrelay
