#include "process/transport/async_http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <map>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "process/transport/curl_answer.h"
#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

// Limit of one wait in curl_multi_poll(). A command or socket activity ends the
// wait earlier.
constexpr std::chrono::milliseconds kMaxPollInterval{1000};
constexpr long kMaxCachedConnections = 64;
// Limit of the status line and headers of one response, interim responses
// included.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using EasyPtr = std::unique_ptr<CURL, EasyDeleter>;
using MultiPtr = std::unique_ptr<CURLM, MultiDeleter>;
using ListPtr = std::unique_ptr<curl_slist, ListDeleter>;

struct CancelCall {
  OutboundCallId id{0};
};
using Command = std::variant<OutboundCall, CancelCall>;

}  // namespace

class AsyncHttpClient::Impl {
 public:
  Impl(Options options, Deliver deliver)
      : options_(options),
        deliver_(std::move(deliver)),
        commands_(options_.command_capacity),
        multi_(curl_multi_init()) {
    if (multi_) {
      curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS,
                        kMaxCachedConnections);
    }
    commands_.SetWake([this] { curl_multi_wakeup(multi_.get()); });
  }

  bool IsReady() const { return multi_ != nullptr; }

  void StartThread() {
    thread_ = std::thread([this] { Run(); });
  }

  bool Push(Command command) { return commands_.TryPush(command); }

  void Stop() {
    if (thread_.joinable()) {
      commands_.Close();
      thread_.join();
    }
  }

 private:
  // One call in progress. Its address must not change, because libcurl keeps
  // pointers to it.
  struct Transfer {
    Impl* client = nullptr;
    OutboundCall call;
    CallHead head;
    EasyPtr easy;
    ListPtr headers;
    bool was_sent = false;
    CurlAnswer answer;
    size_t head_bytes = 0;
    size_t body_bytes = 0;
    // Why this client ended the call itself; empty if it did not.
    std::string abort_reason;
  };

  void Run() {
    while (RunCommands()) {
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      CollectFinished();
      curl_multi_poll(multi_.get(), nullptr, 0,
                      static_cast<int>(kMaxPollInterval.count()), nullptr);
    }
    for (const auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_.get(), transfer->easy.get());
    }
    transfers_.clear();
  }

  // Executes the queued commands. Returns false once Stop() was called.
  bool RunCommands() {
    while (std::optional<Command> command = commands_.TryPop()) {
      std::visit(
          Overloaded{
              [&](OutboundCall& call) { StartTransfer(std::move(call)); },
              [&](CancelCall& cancel) { RemoveTransfer(cancel.id); },
          },
          *command);
    }
    return !commands_.IsClosed();
  }

  void StartTransfer(OutboundCall call) {
    const OutboundCallId id = call.id;
    auto transfer =
        std::make_unique<Transfer>(Transfer{.client = this,
                                            .call = std::move(call),
                                            .head = {.id = id},
                                            .easy = EasyPtr(curl_easy_init())});
    if (!transfer->easy) {
      deliver_(CallEnd{.id = id, .reason = "libcurl has no handle"});
      return;
    }
    ConfigureTransfer(*transfer);
    curl_multi_add_handle(multi_.get(), transfer->easy.get());
    transfers_.emplace(id, std::move(transfer));
  }

  void ConfigureTransfer(Transfer& transfer) {
    CURL* easy = transfer.easy.get();
    const OutboundCall& call = transfer.call;
    const std::string url = "http://" + call.address + call.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 16384L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call.total_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(options_.max_idle.count()));
    if (!call.keeps_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    SetBody(easy, call);
    SetHeaders(transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnWrite);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  }

  static void SetBody(CURL* easy, const OutboundCall& call) {
    if (call.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (!call.body.empty() || call.method == "POST" ||
               call.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }

  static void SetHeaders(Transfer& transfer) {
    ListPtr list;
    const auto add = [&](const std::string& line) {
      list.reset(curl_slist_append(list.release(), line.c_str()));
    };
    // A name without a value removes a header that libcurl adds on its own.
    // With "Expect", libcurl would wait for a 100 (Continue) response before it
    // sends a large body.
    add("Expect:");
    add("Accept:");
    if (FindHeader(transfer.call.headers, "content-type").empty() &&
        FindHeader(transfer.call.headers, "Content-Type").empty()) {
      add("Content-Type:");
    }
    for (const auto& [name, value] : transfer.call.headers) {
      // libcurl sends a header with an empty value when its line ends in ";".
      std::string line = name;
      line += value.empty() ? ";" : ": ";
      add(line += value);
    }
    transfer.headers = std::move(list);
    curl_easy_setopt(transfer.easy.get(), CURLOPT_HTTPHEADER,
                     transfer.headers.get());
  }

  static int OnSocketCreated(void* user, curl_socket_t socket, curlsocktype) {
    const auto timeout_ms = static_cast<unsigned int>(
        static_cast<Impl*>(user)->options_.unacknowledged_timeout.count());
    // An error is ignored: without this option, lost connections are only
    // detected later.
    (void)setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                     sizeof(timeout_ms));
    return CURL_SOCKOPT_OK;
  }

  // libcurl calls this function before it sends the first byte of the request,
  // and again before it repeats the request on a new connection. The repetition
  // is aborted, because each call is sent at most once.
  static int OnBeforeSend(void* user, char*, char*, int, int) {
    auto& transfer = *static_cast<Transfer*>(user);
    return std::exchange(transfer.was_sent, true) ? CURL_PREREQFUNC_ABORT
                                                  : CURL_PREREQFUNC_OK;
  }

  static size_t OnHeader(char* data, size_t size, size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view line(data, size * count);
    transfer.head_bytes += line.size();
    if (transfer.head_bytes > kMaxHeadBytes) {
      transfer.abort_reason = "the response head is over the limit of " +
                              std::to_string(kMaxHeadBytes) + " bytes";
      return 0;  // makes libcurl end the call
    }
    Result<HeadLine> read = transfer.answer.AddHeaderLine(line);
    if (!read) {
      transfer.abort_reason = std::move(read.error().message);
      return 0;  // makes libcurl end the call
    }
    std::visit(
        Overloaded{
            [&](const StatusLine&) { transfer.head.headers.clear(); },
            [&](HttpField& field) {
              transfer.head.headers.emplace_back(std::move(field.name),
                                                 std::move(field.value));
            },
            [&](const HeadEnd&) { transfer.client->OnHeadersEnd(transfer); },
            [](const TrailerLine&) {},
        },
        read.value());
    return line.size();
  }

  void OnHeadersEnd(Transfer& transfer) {
    if (!transfer.answer.has_head()) {
      return;
    }
    transfer.head.status = transfer.answer.status();
    deliver_(std::move(transfer.head));
    transfer.head = {.id = transfer.call.id};
  }

  static size_t OnWrite(char* data, size_t size, size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const size_t limit = transfer.call.max_body_bytes;
    transfer.body_bytes += size * count;
    if (limit > 0 && transfer.body_bytes > limit) {
      transfer.abort_reason = "the response body is over the limit of " +
                              std::to_string(limit) + " bytes";
      return 0;  // makes libcurl end the call
    }
    transfer.client->deliver_(CallData{
        .id = transfer.call.id, .bytes = std::string(data, size * count)});
    return size * count;
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      void* user = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
      // Closes a connection that is not reused before CallEnd is delivered.
      const auto transfer =
          RemoveTransfer(static_cast<Transfer*>(user)->call.id);
      const std::string reason = EndReason(*transfer, code);
      deliver_(
          CallEnd{.id = transfer->call.id,
                  .is_complete = reason.empty(),
                  .was_sent = transfer->was_sent,
                  .was_dropped = !reason.empty() && WasDropped(*transfer, code),
                  .reason = reason});
    }
  }

  static bool WasDropped(const Transfer& transfer, CURLcode code) {
    if (!transfer.was_sent || !transfer.abort_reason.empty()) {
      return false;
    }
    switch (code) {
      case CURLE_OK:
      case CURLE_GOT_NOTHING:
      case CURLE_PARTIAL_FILE:
      case CURLE_RECV_ERROR:
      case CURLE_SEND_ERROR:
        return true;
      default:
        return false;
    }
  }

  // Returns why the response is not whole, or an empty string.
  static std::string EndReason(const Transfer& transfer, CURLcode code) {
    if (!transfer.abort_reason.empty()) {
      return transfer.abort_reason;
    }
    if (code != CURLE_OK) {
      return curl_easy_strerror(code);
    }
    return transfer.answer
        .IncompleteReason(transfer.easy.get(), transfer.call.body.size())
        .value_or("");
  }

  // Removes and returns a transfer, or nullptr if the id is unknown. libcurl
  // closes the connection unless it can be reused.
  std::unique_ptr<Transfer> RemoveTransfer(OutboundCallId id) {
    auto node = transfers_.extract(id);
    if (node.empty()) {
      return nullptr;
    }
    curl_multi_remove_handle(multi_.get(), node.mapped()->easy.get());
    return std::move(node.mapped());
  }

  Options options_;
  Deliver deliver_;
  Ring<Command> commands_;
  MultiPtr multi_;
  std::map<OutboundCallId, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

Result<std::unique_ptr<AsyncHttpClient>> AsyncHttpClient::Make(
    Options options,
    Deliver deliver) {
  if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
    return Error{ErrorCode::kInternal, "curl_global_init failed"};
  }
  auto impl = std::make_unique<Impl>(options, std::move(deliver));
  if (!impl->IsReady()) {
    return Error{ErrorCode::kInternal, "curl_multi_init failed"};
  }
  impl->StartThread();
  return std::unique_ptr<AsyncHttpClient>(new AsyncHttpClient(std::move(impl)));
}

AsyncHttpClient::AsyncHttpClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

AsyncHttpClient::~AsyncHttpClient() {
  Stop();
}

bool AsyncHttpClient::Start(OutboundCall call) {
  return impl_->Push(std::move(call));
}

bool AsyncHttpClient::Cancel(OutboundCallId id) {
  return impl_->Push(CancelCall{id});
}

void AsyncHttpClient::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
