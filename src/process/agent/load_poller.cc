#include "process/agent/load_poller.h"

#include <curl/curl.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "process/telemetry/log.h"
#include "process/transport/curl_answer.h"
#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kPollTimeout{1000};
constexpr size_t kMaxReportBytes = size_t{64} << 10;
constexpr int kOk = 200;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

// One poll while its answer arrives. Both callbacks return 0 to make libcurl
// end the call.
struct Poll {
  CurlAnswer answer;
  std::string body;
  std::string abort_reason;  // empty unless a callback ended the call
};

size_t OnHeader(char* data, size_t size, size_t count, void* user) {
  auto& poll = *static_cast<Poll*>(user);
  const std::string_view line(data, size * count);
  Result<HeadLine> read = poll.answer.AddHeaderLine(line);
  if (!read) {
    poll.abort_reason = std::move(read.error().message);
    return 0;
  }
  return line.size();
}

size_t OnBody(char* data, size_t size, size_t count, void* user) {
  auto& poll = *static_cast<Poll*>(user);
  if (poll.body.size() + size * count > kMaxReportBytes) {
    poll.abort_reason = "the report is over the limit";
    return 0;
  }
  poll.body.append(data, size * count);
  return size * count;
}

int ReadCount(const nlohmann::json& report, const char* name) {
  const auto it = report.find(name);
  return it != report.end() && it->is_number_integer() ? it->get<int>() : 0;
}

// Command type of the ring that wakes the thread when the ring is closed. No
// command is ever pushed.
struct StopPolling {};

}  // namespace

LoadReport ParseLoadReport(const std::string& json) {
  const auto report = nlohmann::json::parse(json, nullptr, false);
  if (!report.is_object()) {
    return {};
  }
  return {.running = ReadCount(report, "running"),
          .waiting = ReadCount(report, "waiting")};
}

class LoadPoller::Impl {
 public:
  Impl(Options options, Deliver deliver)
      : options_(std::move(options)),
        deliver_(std::move(deliver)),
        easy_(curl_easy_init()) {}

  bool IsReady() const { return easy_ != nullptr; }

  void StartThread() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    if (thread_.joinable()) {
      commands_.Close();
      thread_.join();
    }
  }

 private:
  void Run() {
    CURL* easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_URL, (options_.url + "/load").c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(kPollTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    TimePoint next = BootClock::now();
    while (!commands_.IsClosed()) {
      if (const std::optional<LoadReport> report = AskOnce()) {
        deliver_(*report);
      }
      next = std::max(next + options_.interval, BootClock::now());
      commands_.PopUntil(next);
    }
  }

  // Returns std::nullopt when the poll failed in a way that does not show that
  // the backend server is down, such as a timeout.
  std::optional<LoadReport> AskOnce() {
    Poll poll;
    curl_easy_setopt(easy_.get(), CURLOPT_HEADERDATA, &poll);
    curl_easy_setopt(easy_.get(), CURLOPT_WRITEDATA, &poll);
    const CURLcode code = curl_easy_perform(easy_.get());
    if (code == CURLE_COULDNT_CONNECT) {
      return LoadReport{.is_reachable = false};
    }
    if (const auto problem = ProblemOf(poll, code)) {
      if (!std::exchange(is_failing_, true)) {
        LogWarning(LogEvent::kLoadPollFailed, "no report of the load: {}",
                   *problem);
      }
      return std::nullopt;
    }
    is_failing_ = false;
    return ParseLoadReport(poll.body);
  }

  // Returns why the answer is no report, or std::nullopt if it is one.
  std::optional<std::string> ProblemOf(const Poll& poll, CURLcode code) const {
    if (!poll.abort_reason.empty()) {
      return poll.abort_reason;
    }
    if (code != CURLE_OK) {
      return curl_easy_strerror(code);
    }
    if (auto reason = poll.answer.IncompleteReason(easy_.get(), 0)) {
      return reason;
    }
    if (poll.answer.status() != kOk) {
      return "status " + std::to_string(poll.answer.status());
    }
    return std::nullopt;
  }

  Options options_;
  Deliver deliver_;
  std::unique_ptr<CURL, EasyDeleter> easy_;
  bool is_failing_ = false;  // since the last report
  Ring<StopPolling> commands_{1};
  std::thread thread_;
};

Result<std::unique_ptr<LoadPoller>> LoadPoller::Make(Options options,
                                                     Deliver deliver) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(deliver));
  if (!impl->IsReady()) {
    return Error{ErrorCode::kInternal, "libcurl cannot be set up"};
  }
  impl->StartThread();
  return std::unique_ptr<LoadPoller>(new LoadPoller(std::move(impl)));
}

LoadPoller::LoadPoller(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LoadPoller::~LoadPoller() {
  Stop();
}

void LoadPoller::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
