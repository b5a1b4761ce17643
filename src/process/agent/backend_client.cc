#include "process/agent/backend_client.h"

#include <curl/curl.h>

#include <chrono>
#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "process/telemetry/log.h"
#include "process/transport/curl_answer.h"
#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
// Longest wait for socket activity; a command ends the wait early.
constexpr std::chrono::milliseconds kMaxPoll{1000};
constexpr const char* kModelPath = "/v1/chat/completions";

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

struct CancelCommand {
  CallId call{0};
};
using Command = std::variant<BackendCall, CancelCommand>;

}  // namespace

class BackendClient::Impl {
 public:
  Impl(Options options, Deliver deliver)
      : options_(std::move(options)),
        deliver_(std::move(deliver)),
        commands_(options_.command_capacity),
        multi_(curl_multi_init()) {
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
  // A call in progress. Must not move, because libcurl keeps pointers to it.
  struct Transfer {
    Impl* client = nullptr;
    BackendCall call;
    BackendResponse response;
    EasyPtr easy;
    ListPtr headers;
    CurlAnswer answer;
    std::string check_error;  // empty unless the response failed a check
    bool is_connected = false;
  };

  void Run() {
    while (RunCommands()) {
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      CollectFinished();
      curl_multi_poll(multi_.get(), nullptr, 0,
                      static_cast<int>(kMaxPoll.count()), nullptr);
    }
    for (const auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_.get(), transfer->easy.get());
    }
    transfers_.clear();
  }

  // Runs all commands in the ring. Returns false when the client was stopped.
  bool RunCommands() {
    while (std::optional<Command> command = commands_.TryPop()) {
      std::visit(
          Overloaded{
              [&](BackendCall& call) { StartTransfer(std::move(call)); },
              [&](CancelCommand& cancel) { CancelTransfer(cancel.call); },
          },
          *command);
    }
    return !commands_.IsClosed();
  }

  void StartTransfer(BackendCall call) {
    const CallId id = call.call;
    BackendResponse response({.call = id,
                              .kind = options_.kind,
                              .stream = call.stream,
                              .request_id = RequestId(id),
                              .has_checked_fence = options_.checks_fences &&
                                                   call.chunk.has_value()});
    auto transfer =
        std::make_unique<Transfer>(Transfer{.client = this,
                                            .call = std::move(call),
                                            .response = std::move(response),
                                            .easy = EasyPtr(curl_easy_init())});
    CURL* easy = transfer->easy.get();
    if (easy == nullptr) {
      deliver_(transfer->response.Fail("libcurl has no handle", false));
      return;
    }
    ConfigureTransfer(*transfer);
    curl_multi_add_handle(multi_.get(), easy);
    transfers_.emplace(id, std::move(transfer));
  }

  std::string RequestId(CallId id) const {
    return options_.request_id_prefix + "-" +
           std::to_string(static_cast<std::uint64_t>(id));
  }

  void ConfigureTransfer(Transfer& transfer) {
    CURL* easy = transfer.easy.get();
    const BackendCall& call = transfer.call;
    const bool is_model = options_.kind == BackendKind::kModel;
    const std::string method =
        is_model || call.method.empty() ? "POST" : call.method;
    const std::string path = is_model            ? kModelPath
                             : call.path.empty() ? "/"
                                                 : call.path;
    curl_easy_setopt(easy, CURLOPT_URL, (options_.url + path).c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(kConnectTimeout.count()));
    // Each call has a new connection: libcurl repeats a request when a reused
    // connection turns out to be closed, but a call must run at most once.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    if (!call.body.empty() || method == "POST" || method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    } else if (method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    transfer.headers = MakeHeaders(call);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnWrite);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  }

  ListPtr MakeHeaders(const BackendCall& call) const {
    ListPtr list;
    const auto add = [&](const std::string& line) {
      list.reset(curl_slist_append(list.release(), line.c_str()));
    };
    // The empty header keeps libcurl from waiting for a 100 (Continue) response
    // before it sends a large body.
    add("Expect:");
    add("Connection: close");
    add("X-Request-Id: " + RequestId(call.call));
    // Set in any case, because libcurl would add the type of a web form.
    add(call.body.empty() ? "Content-Type:" : "Content-Type: application/json");
    if (!call.traceparent.empty()) {
      add("traceparent: " + call.traceparent);
    }
    if (!call.idempotency_key.empty()) {
      add("Idempotency-Key: " + call.idempotency_key);
    }
    if (call.chunk) {
      add("X-Fencing-Scope: " + call.chunk->job + "/" +
          std::to_string(call.chunk->chunk));
      add("X-Fencing-Number: " + std::to_string(ToInt(call.chunk->fence)));
    }
    return list;
  }

  // libcurl calls this after connecting and before it sends the request.
  static int OnConnected(void* user, char*, char*, int, int) {
    static_cast<Transfer*>(user)->is_connected = true;
    return CURL_PREREQFUNC_OK;
  }

  static size_t OnHeader(char* data, size_t size, size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    const std::string_view line(data, size * count);
    Result<HeadLine> read = transfer.answer.AddHeaderLine(line);
    if (!read) {
      transfer.check_error = std::move(read.error().message);
      return 0;  // makes libcurl end the call
    }
    if (std::holds_alternative<HeadEnd>(read.value())) {
      transfer.client->OnHeadersEnd(transfer);
    }
    return line.size();
  }

  void OnHeadersEnd(Transfer& transfer) {
    if (!transfer.answer.has_head()) {
      return;
    }
    const char* content_type = nullptr;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_CONTENT_TYPE,
                      &content_type);
    transfer.response.OnHeaders(transfer.answer.status(),
                                content_type == nullptr ? "" : content_type);
    if (transfer.response.IsSuccess()) {
      deliver_(BackendStarted{transfer.call.call});
    }
  }

  static size_t OnWrite(char* data, size_t size, size_t count, void* user) {
    auto& transfer = *static_cast<Transfer*>(user);
    Result<std::string> checked =
        transfer.response.OnData(std::string_view(data, size * count));
    if (!checked) {
      transfer.check_error = std::move(checked.error().message);
      return CURL_WRITEFUNC_ERROR;
    }
    if (!checked.value().empty()) {
      transfer.client->deliver_(
          BackendPart{transfer.call.call, std::move(checked).value()});
    }
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
      Finish(*static_cast<Transfer*>(user), code);
    }
  }

  void Finish(Transfer& transfer, CURLcode code) {
    // Closes the connection before the end is reported, so that the backend
    // server has a free slot when the admission controller reuses it.
    std::unique_ptr<Transfer> owned = RemoveTransfer(transfer.call.call);
    if (code == CURLE_OK) {
      if (auto reason = owned->answer.IncompleteReason(
              owned->easy.get(), owned->call.body.size())) {
        DeliverEnd(owned->response.Fail(*std::move(reason), true));
        return;
      }
      BackendResponse::Outcome outcome = owned->response.Finish();
      if (!outcome.last_part.empty()) {
        deliver_(BackendPart{owned->call.call, std::move(outcome.last_part)});
      }
      std::visit([&](auto& end) { DeliverEnd(std::move(end)); }, outcome.end);
      return;
    }
    const std::string reason = owned->check_error.empty()
                                   ? curl_easy_strerror(code)
                                   : owned->check_error;
    DeliverEnd(owned->response.Fail(reason, owned->is_connected));
  }

  void DeliverEnd(BackendEnd end) { deliver_(std::move(end)); }
  void DeliverEnd(BackendFailed failed) {
    LogWarning(LogEvent::kBackendCallFailed,
               "backend call {} failed, run state {}: {}",
               static_cast<std::uint64_t>(failed.call),
               ToString(failed.run_state), failed.reason);
    deliver_(std::move(failed));
  }

  void CancelTransfer(CallId id) {
    // A call that has already ended has reported its end and gets no event.
    if (RemoveTransfer(id)) {
      deliver_(BackendCancelled{id});
    }
  }

  // Removes the transfer and returns it, or nullptr if there is none. Its
  // connection is closed.
  std::unique_ptr<Transfer> RemoveTransfer(CallId id) {
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
  std::map<CallId, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

Result<std::unique_ptr<BackendClient>> BackendClient::Make(Options options,
                                                           Deliver deliver) {
  if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
    return Error{ErrorCode::kInternal, "libcurl cannot be set up"};
  }
  auto impl = std::make_unique<Impl>(std::move(options), std::move(deliver));
  if (!impl->IsReady()) {
    return Error{ErrorCode::kInternal, "libcurl cannot be set up"};
  }
  impl->StartThread();
  return std::unique_ptr<BackendClient>(new BackendClient(std::move(impl)));
}

BackendClient::BackendClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

BackendClient::~BackendClient() {
  Stop();
}

bool BackendClient::Start(BackendCall call) {
  return impl_->Push(std::move(call));
}

bool BackendClient::Cancel(CallId call) {
  return impl_->Push(CancelCommand{call});
}

void BackendClient::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
