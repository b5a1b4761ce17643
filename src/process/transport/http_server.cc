#include "process/transport/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <restinio/all.hpp>
#include <thread>
#include <unordered_map>
#include <utility>

#include "process/transport/endpoint.h"

namespace carawayrelay {
namespace {

// Limit of the buffered data of one stream. A client that reads too slowly and
// exceeds it is disconnected.
constexpr size_t kMaxUnsentBytes = size_t{4} << 20;
// RESTinio closes the connection without a response when a body exceeds its
// limit. The margin lets bodies slightly over max_body_bytes get a 413
// response.
constexpr size_t kBodyMargin = size_t{16} << 20;
// Handlers enforce their own time limits. RESTinio's limit is long enough not
// to interrupt a stream.
constexpr std::chrono::hours kHandlerTimeLimit{24};
constexpr std::chrono::seconds kWriteTimeLimit{30};
// With 2, RESTinio keeps reading during a request and so detects that the
// client disconnects.
constexpr size_t kMaxPipelined = 2;

using ClosedFlag = std::shared_ptr<std::atomic<bool>>;

// Sets a flag that the exchanges of a connection share when the connection
// closes. All calls run on the thread of the server.
class ConnectionCloseListener {
 public:
  ClosedFlag ClosedFlagFor(restinio::connection_id_t connection) {
    ClosedFlag& flag = flags_[connection];
    if (!flag) {
      flag = std::make_shared<std::atomic<bool>>(false);
    }
    return flag;
  }

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (!std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause())) {
      return;
    }
    const auto it = flags_.find(notice.connection_id());
    if (it != flags_.end()) {
      *it->second = true;
      flags_.erase(it);
    }
  }

 private:
  std::unordered_map<restinio::connection_id_t, ClosedFlag> flags_;
};

struct Traits : restinio::traits_t<restinio::asio_timer_manager_t,
                                   restinio::null_logger_t> {
  using connection_state_listener_t = ConnectionCloseListener;
};
using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

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

restinio::http_status_line_t StatusLine(int status) {
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
          ReasonPhrase(status)};
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest ToHttpRequest(const restinio::request_t& request) {
  HttpRequest result;
  const auto& header = request.header();
  result.method = header.method().c_str();
  result.path = std::string(header.path());
  result.query = std::string(header.query());
  header.for_each_field([&](const auto& field) {
    result.headers[LowerCase(std::string(field.name()))] =
        std::string(field.value());
  });
  result.body = request.body();
  return result;
}

}  // namespace

class HttpExchange::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(restinio::request_handle_t request, ClosedFlag is_closed)
      : request_(std::move(request)),
        is_closed_(std::move(is_closed)),
        connection_(restinio::impl::access_req_connection(*request_)),
        request_id_(request_->request_id()) {}

  void CloseAfterResponse() {
    std::lock_guard lock(mutex_);
    close_after_response_ = true;
  }

  void Respond(int status, const HttpHeaders& headers, std::string body) {
    std::lock_guard lock(mutex_);
    if (std::exchange(response_started_, true)) {
      return;
    }
    auto response = request_->create_response(StatusLine(status));
    for (const auto& [name, value] : headers) {
      response.append_header(name, value);
    }
    if (close_after_response_) {
      response.connection_close();
    }
    response.set_body(std::move(body));
    response.done();
    finished_ = true;
  }

  void StartStream(int status, const HttpHeaders& headers) {
    std::lock_guard lock(mutex_);
    if (std::exchange(response_started_, true)) {
      return;
    }
    stream_.emplace(request_->create_response<restinio::chunked_output_t>(
        StatusLine(status)));
    for (const auto& [name, value] : headers) {
      stream_->append_header(name, value);
    }
    if (close_after_response_) {
      stream_->connection_close();
    }
    stream_->flush();
  }

  bool SendPart(std::string data) {
    std::lock_guard lock(mutex_);
    if (!stream_ || finished_ || disconnected_) {
      return false;
    }
    const size_t size = data.size();
    if (unsent_bytes_.fetch_add(size) + size > kMaxUnsentBytes) {
      AbortLocked();
      return false;
    }
    stream_->append_chunk(std::move(data));
    stream_->flush([self = shared_from_this(), size](const auto& error) {
      self->unsent_bytes_ -= size;
      if (error) {
        self->disconnected_ = true;
      }
    });
    return true;
  }

  void EndStream() {
    std::lock_guard lock(mutex_);
    if (stream_ && !std::exchange(finished_, true)) {
      stream_->done();
    }
  }

  void Abort() {
    std::lock_guard lock(mutex_);
    AbortLocked();
  }

  bool IsDisconnected() const { return disconnected_ || *is_closed_; }

 private:
  // Ends the response without the terminating chunk and closes the connection.
  // The mutex must be locked.
  void AbortLocked() {
    if (std::exchange(finished_, true)) {
      return;
    }
    response_started_ = true;
    disconnected_ = true;
    connection_->write_response_parts(
        request_id_,
        {restinio::response_parts_attr_t::final_parts,
         restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
  }

  std::mutex mutex_;
  restinio::request_handle_t request_;
  ClosedFlag is_closed_;
  restinio::impl::connection_handle_t connection_;
  restinio::request_id_t request_id_;
  std::optional<ChunkedBuilder> stream_;
  std::atomic<size_t> unsent_bytes_ = 0;
  std::atomic<bool> disconnected_ = false;
  bool close_after_response_ = false;
  bool response_started_ = false;
  bool finished_ = false;
};

HttpExchange::HttpExchange(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

HttpExchange::~HttpExchange() {
  Abort();
}

void HttpExchange::CloseAfterResponse() {
  impl_->CloseAfterResponse();
}

void HttpExchange::Respond(int status,
                           const HttpHeaders& headers,
                           std::string body) {
  impl_->Respond(status, headers, std::move(body));
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  impl_->StartStream(status, headers);
}

bool HttpExchange::SendPart(std::string data) {
  return impl_->SendPart(std::move(data));
}

void HttpExchange::EndStream() {
  impl_->EndStream();
}

void HttpExchange::Abort() {
  impl_->Abort();
}

bool HttpExchange::IsDisconnected() const {
  return impl_->IsDisconnected();
}

class HttpServer::Impl {
 public:
  Impl(const Options& options,
       const asio::ip::tcp::endpoint& endpoint,
       Handler handler)
      : server_(restinio::run_async<Traits>(
            restinio::own_io_context(),
            MakeSettings(options, endpoint, std::move(handler)),
            kThreads)) {}

  void Stop() {
    if (server_) {
      server_->stop();
      server_->wait();
      server_.reset();
    }
  }

 private:
  static constexpr size_t kThreads = 1;

  static restinio::server_settings_t<Traits> MakeSettings(
      const Options& options,
      const asio::ip::tcp::endpoint& endpoint,
      Handler handler) {
    restinio::server_settings_t<Traits> settings;
    const auto listener = std::make_shared<ConnectionCloseListener>();
    settings.port(endpoint.port())
        .protocol(endpoint.protocol())
        .address(endpoint.address())
        .read_next_http_message_timelimit(options.read_timeout)
        .handle_request_timeout(kHandlerTimeLimit)
        .write_http_response_timelimit(kWriteTimeLimit)
        .max_pipelined_requests(kMaxPipelined)
        .socket_options_setter([](auto& socket_options) {
          socket_options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_options_setter([](auto& acceptor_options) {
          acceptor_options.set_option(
              asio::ip::tcp::acceptor::reuse_address(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(
                options.max_body_bytes + kBodyMargin))
        .connection_state_listener(listener)
        .request_handler([handler = std::move(handler),
                          max_body = options.max_body_bytes,
                          listener](const restinio::request_handle_t& request) {
          return Handle(handler, max_body, request,
                        listener->ClosedFlagFor(request->connection_id()));
        });
    return settings;
  }

  static restinio::request_handling_status_t Handle(
      const Handler& handler,
      size_t max_body,
      const restinio::request_handle_t& request,
      ClosedFlag is_closed) {
    HttpRequest http_request = ToHttpRequest(*request);
    HttpExchangePtr exchange(new HttpExchange(
        std::make_shared<HttpExchange::Impl>(request, std::move(is_closed))));
    if (http_request.body.size() > max_body) {
      exchange->Respond(
          HttpStatus(RefusalCode::kTooLarge),
          {{"Content-Type", "application/json"}},
          R"({"error":{"message":"request body over the limit of )" +
              std::to_string(max_body) +
              R"( bytes","type":"invalid_request_error","code":"too_large",)"
              R"("run_state":"not_run"}})");
    } else {
      handler(std::move(http_request), std::move(exchange));
    }
    return restinio::request_accepted();
  }

  restinio::running_server_handle_t<Traits> server_;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Make(const Options& options,
                                                     Handler handler) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(options.listen_address));
  try {
    return std::unique_ptr<HttpServer>(new HttpServer(
        std::make_unique<Impl>(options, endpoint, std::move(handler))));
  } catch (const std::exception& e) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + options.listen_address + ": " + e.what()};
  }
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
