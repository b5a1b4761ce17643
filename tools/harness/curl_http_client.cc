#include "harness/curl_http_client.h"

#include <curl/curl.h>

#include <string_view>
#include <thread>
#include <utility>
#include <variant>

namespace carawayrelay::tools {
namespace {

constexpr size_t kCommandCapacity = 16384;
// Longest wait in curl_multi_poll(). Socket activity and new commands wake the
// thread earlier.
constexpr std::chrono::milliseconds kMaxPollWait{1000};

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// One call. libcurl keeps pointers to it, so it must not move.
struct Transfer {
  CallSpec spec;
  CurlHttpClient::Done done;
  CallResult result;
  CurlAnswer answer;
  std::string abort_reason;  // empty unless OnHeader() ended the call
  std::unique_ptr<CURL, EasyDeleter> easy;
  std::unique_ptr<curl_slist, ListDeleter> headers;
};

size_t OnBody(char* data, size_t size, size_t count, void* user) {
  CallResult& result = static_cast<Transfer*>(user)->result;
  result.body.append(data, size * count);
  result.arrivals.emplace_back(result.body.size(), BootClock::now());
  return size * count;
}

// Returns 0 to make libcurl end the call.
size_t OnHeader(char* data, size_t size, size_t count, void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const std::string_view line(data, size * count);
  Result<HeadLine> read = transfer.answer.AddHeaderLine(line);
  if (!read) {
    transfer.abort_reason = std::move(read.error().message);
    return 0;
  }
  std::visit(Overloaded{
                 [&](const StatusLine&) { transfer.result.headers.clear(); },
                 [&](HttpField& field) {
                   transfer.result.headers[std::move(field.name)] =
                       std::move(field.value);
                 },
                 [](const HeadEnd&) {},
                 [](const TrailerLine&) {},
             },
             read.value());
  return line.size();
}

// Returns why no complete response arrived; empty when one did.
std::string TransportError(const Transfer& transfer, CURLcode code) {
  if (!transfer.abort_reason.empty()) {
    return transfer.abort_reason;
  }
  if (code != CURLE_OK) {
    return curl_easy_strerror(code);
  }
  return transfer.answer
      .IncompleteReason(transfer.easy.get(), transfer.spec.body.size())
      .value_or("");
}

void SetUp(Transfer& transfer) {
  CURL* easy = transfer.easy.get();
  const CallSpec& spec = transfer.spec;
  curl_easy_setopt(easy, CURLOPT_URL, spec.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(spec.timeout.count()));
  // libcurl retries a call by itself when a reused connection turns out to be
  // closed. That retry would hide from the test how the relay failed, so each
  // call uses a new connection.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, spec.method.c_str());
  if (spec.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, spec.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(spec.body.size()));
  }
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : spec.headers) {
    list = curl_slist_append(list, header.c_str());
  }
  transfer.headers.reset(list);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
}

}  // namespace

class CurlHttpClient::Impl {
 public:
  Impl() : multi_(curl_multi_init()), commands_(kCommandCapacity) {
    commands_.SetWake([this] { curl_multi_wakeup(multi_.get()); });
    thread_ = std::thread([this] { Loop(); });
  }

  ~Impl() {
    commands_.Close();
    thread_.join();
  }

  bool Push(std::unique_ptr<Transfer> transfer) {
    return commands_.Push(std::move(transfer));
  }

 private:
  void Loop() {
    while (!commands_.IsClosed()) {
      while (auto command = commands_.TryPop()) {
        Begin(std::move(*command));
      }
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      CollectFinished();
      curl_multi_poll(multi_.get(), nullptr, 0,
                      static_cast<int>(kMaxPollWait.count()), nullptr);
    }
    while (!transfers_.empty()) {
      Finish(transfers_.begin()->first,
             "the HTTP client was stopped before the call ended");
    }
  }

  void Begin(std::unique_ptr<Transfer> transfer) {
    transfer->easy.reset(curl_easy_init());
    SetUp(*transfer);
    transfer->result.started = BootClock::now();
    CURL* easy = transfer->easy.get();
    curl_multi_add_handle(multi_.get(), easy);
    transfers_.emplace(easy, std::move(transfer));
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg == CURLMSG_DONE) {
        CURL* easy = message->easy_handle;
        Finish(easy,
               TransportError(*transfers_.at(easy), message->data.result));
      }
    }
  }

  void Finish(CURL* easy, std::string transport_error) {
    auto node = transfers_.extract(easy);
    Transfer& transfer = *node.mapped();
    curl_multi_remove_handle(multi_.get(), easy);
    transfer.result.http_status =
        transfer.answer.has_head() ? transfer.answer.status() : 0;
    transfer.result.transport_error = std::move(transport_error);
    transfer.result.ended = BootClock::now();
    transfer.done(std::move(transfer.result));
  }

  std::unique_ptr<CURLM, MultiDeleter> multi_;
  Ring<std::unique_ptr<Transfer>> commands_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

Result<std::unique_ptr<CurlHttpClient>> CurlHttpClient::Make() {
  if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
    return Error{ErrorCode::kInternal, "curl_global_init() failed"};
  }
  return std::unique_ptr<CurlHttpClient>(
      new CurlHttpClient(std::make_unique<Impl>()));
}

CurlHttpClient::CurlHttpClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

CurlHttpClient::~CurlHttpClient() = default;

void CurlHttpClient::Start(CallSpec spec, Done done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->spec = std::move(spec);
  transfer->done = std::move(done);
  impl_->Push(std::move(transfer));
}

CallResult CurlHttpClient::Run(CallSpec spec) {
  // Shared, because Push() on the other thread may still use the ring after
  // Pop() has returned.
  const auto results = std::make_shared<Ring<CallResult>>(1);
  Start(std::move(spec),
        [results](CallResult result) { results->Push(std::move(result)); });
  return results->Pop().value_or(CallResult{});
}

}  // namespace carawayrelay::tools
