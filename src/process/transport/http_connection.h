#pragma once

#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "process/transport/http_request_parser.h"
#include "process/transport/http_server_loop.h"
#include "process/transport/progress_order.h"
#include "request/refusal.h"

namespace carawayrelay {

// One connection of a client. It reads a request, passes it to the handler of
// the server and reads the next one when the response has been sent. Bytes of
// later requests stay in the socket until then. Methods are called on the
// thread of the server, except for those that say otherwise.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // Number of a request on its connection.
  using RequestNumber = std::uint64_t;

  HttpConnection(std::shared_ptr<HttpServerLoop> loop,
                 asio::ip::tcp::socket socket);

  void Start();
  void Close();
  // Ends what takes longer than its time limit.
  void CheckDeadline(TimePoint now);

  // Any thread. True once the connection is closed.
  bool is_closed() const { return is_closed_; }
  // Any thread. Bytes of responses that wait to be sent.
  size_t unsent_bytes() const { return unsent_bytes_; }
  // Any thread. Sends a part of the response to a request. After the last part
  // the connection is closed if `closes` is true.
  void Write(RequestNumber request,
             std::string bytes,
             bool is_last,
             bool closes);

 private:
  enum class Phase {
    kIdle,        // waits for the first byte of a request
    kHead,        // reads the head of a request
    kBody,        // reads the body of a request
    kServing,     // the handler has the request
    kRefusing,    // sends the refusal of an incomplete request
    kDiscarding,  // discards what the client still sends, then closes
    kClosed,
  };

  void WaitForInput();
  void OnInput();
  void Consume(std::string_view data);
  void ConsumeRequest(std::string_view data);
  void Discard(size_t bytes);
  // Widens the window of a connection that sends a large body, so that the
  // round trips to the client do not limit it.
  void WidenWindow();
  void NarrowWindow();
  // Sets the charge of the request and refuses it if there is no memory.
  // Returns false if it was refused.
  bool Charge();
  void Dispatch();
  // Answers a request that was not passed to the handler.
  void Refuse(RefusalCode code, const std::string& reason);
  void RefuseProblem();
  void OnEvicted(RequestNumber request);
  void Append(std::string bytes, bool is_last, bool closes);
  // May close this connection.
  void AddUnsent(std::string bytes);
  void RemoveUnsent(size_t bytes);
  void SendNext();
  void OnSent(size_t bytes);
  void OnResponseSent();
  void BeginRequest();
  // Sets a phase in which the client is waited for.
  void SetPhase(Phase phase, std::chrono::milliseconds time_limit);

  const std::shared_ptr<HttpServerLoop> loop_;
  asio::ip::tcp::socket socket_;
  Phase phase_ = Phase::kIdle;
  // Time limit of the phase; none while the handler has the request.
  std::optional<TimePoint> deadline_;
  // Among the connections that may be closed for a new one.
  ProgressOrder::Place waiting_place_;
  // Among those with a response that waits to be sent.
  ProgressOrder::Place unsent_place_;
  // Number of the request that is received or served.
  RequestNumber request_number_ = 0;
  std::optional<HttpRequestParser> parser_;
  std::unique_ptr<RequestMemoryBudget::Account> account_;
  // True once a request was complete.
  bool has_had_request_ = false;
  bool has_wide_window_ = false;
  bool is_waiting_for_input_ = false;
  size_t discarded_bytes_ = 0;
  std::deque<std::string> unsent_;
  std::string sending_;
  size_t sent_of_sending_ = 0;
  // Bytes of `unsent_` and of `sending_` that are not sent.
  size_t held_response_bytes_ = 0;
  bool is_sending_ = false;
  bool has_last_part_ = false;
  bool closes_after_response_ = false;
  std::atomic<size_t> unsent_bytes_ = 0;
  std::atomic<bool> is_closed_ = false;
};

}  // namespace carawayrelay
