#pragma once

#include <doctest/doctest.h>

#include <asio/completion_condition.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "carawayrelay/process.h"

namespace carawayrelay {

// A server that answers with any bytes, and the clients that read answers in
// the product.
struct RawAnswerFixture {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io};

  RawAnswerFixture() { Listen(); }
  // Opens a closed acceptor on a free port.
  void Listen() {
    acceptor = asio::ip::tcp::acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  // Sends `answer` while the request is still being written, and breaks the
  // connection `delay` later, while `call` runs.
  template <class Call>
  void ServeAndReset(const std::string& answer,
                     std::chrono::milliseconds delay,
                     const Call& call) {
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      asio::write(socket, asio::buffer(answer));
      std::this_thread::sleep_for(delay);
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    });
    call();
    server.join();
  }
  // The same, but ends the own side of the connection before it breaks it.
  template <class Call>
  void ServeAndHalfClose(const std::string& answer, const Call& call) {
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      asio::write(socket, asio::buffer(answer));
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    });
    call();
    server.join();
  }
  // Reads a request with a body of `body_bytes`, sends the whole of `answer`
  // and closes the connection.
  template <class Call>
  void ServeWhole(const std::string& answer,
                  size_t body_bytes,
                  const Call& call) {
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      const size_t head_bytes = asio::read_until(socket, request, "\r\n\r\n");
      const size_t bytes = head_bytes + body_bytes;
      if (request.size() < bytes) {
        asio::read(socket, request,
                   asio::transfer_exactly(bytes - request.size()));
      }
      asio::write(socket, asio::buffer(answer));
    });
    call();
    server.join();
  }
  // Calls the server and returns the events up to the end.
  std::vector<CallEvent> EventsOf(const std::string& body) const {
    Ring<CallEvent> ring{64};
    const auto client = AsyncHttpClient::Make({}, [&](CallEvent event) {
                          ring.Push(std::move(event));
                        }).value();
    client->Start({.id = OutboundCallId{1},
                   .address = address(),
                   .method = "POST",
                   .target = "/",
                   .body = body});
    std::vector<CallEvent> events;
    const TimePoint limit = BootClock::now() + std::chrono::milliseconds(5000);
    while (auto event = ring.PopUntil(limit)) {
      events.push_back(*std::move(event));
      if (std::holds_alternative<CallEnd>(events.back())) {
        return events;
      }
    }
    FAIL("the call did not end");
    return events;
  }
  // Calls the server as the role agent does and returns the last event.
  BackendEvent LastEventOf(BackendKind kind, const std::string& body) const {
    Ring<BackendEvent> ring{64};
    const auto client =
        BackendClient::Make(
            {.url = "http://" + address(), .kind = kind},
            [&](BackendEvent event) { ring.Push(std::move(event)); })
            .value();
    client->Start(
        {.call = CallId{1}, .method = "POST", .path = "/", .body = body});
    const TimePoint limit = BootClock::now() + std::chrono::milliseconds(5000);
    while (auto event = ring.PopUntil(limit)) {
      if (std::holds_alternative<BackendEnd>(*event) ||
          std::holds_alternative<BackendFailed>(*event)) {
        return *std::move(event);
      }
    }
    FAIL("the call did not end");
    return BackendFailed{};
  }
};

}  // namespace carawayrelay
