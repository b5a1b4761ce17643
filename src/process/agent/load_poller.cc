#include "process/agent/load_poller.h"

#include <curl/curl.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kPollTimeout{1000};
constexpr size_t kMaxReportBytes = size_t{64} << 10;
constexpr long kOk = 200;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

size_t Append(char* data, size_t size, size_t count, void* user) {
  auto& text = *static_cast<std::string*>(user);
  if (text.size() + size * count > kMaxReportBytes) {
    return CURL_WRITEFUNC_ERROR;
  }
  text.append(data, size * count);
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
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
    TimePoint next = BootClock::now();
    while (!commands_.IsClosed()) {
      if (const std::optional<LoadReport> report = Poll()) {
        deliver_(*report);
      }
      next = std::max(next + options_.interval, BootClock::now());
      commands_.PopUntil(next);
    }
  }

  // Returns std::nullopt when the poll failed in a way that does not show that
  // the backend server is down, such as a timeout.
  std::optional<LoadReport> Poll() {
    std::string text;
    curl_easy_setopt(easy_.get(), CURLOPT_WRITEDATA, &text);
    const CURLcode code = curl_easy_perform(easy_.get());
    if (code == CURLE_COULDNT_CONNECT) {
      return LoadReport{.is_reachable = false};
    }
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status != kOk) {
      return std::nullopt;
    }
    return ParseLoadReport(text);
  }

  Options options_;
  Deliver deliver_;
  std::unique_ptr<CURL, EasyDeleter> easy_;
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
