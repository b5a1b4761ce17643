#include "harness/soak_history.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

// Longest time after its withdrawal for which a key may still be accepted.
constexpr std::chrono::milliseconds kMaxRevocationDelay{5000};
// CheckRate() counts requests in a sliding window and allows this fraction and
// this number of requests above the limit.
constexpr std::chrono::milliseconds kRateWindow{5000};
constexpr double kRateTolerance = 0.1;
constexpr double kRateSlackRequests = 20;

}  // namespace

SoakHistory::SoakHistory(const std::vector<std::string>& files) {
  for (const std::string& file : files) {
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);) {
      const json event = json::parse(line, nullptr, false);
      if (!event.is_object() || event.value("event", "") != "run_started") {
        continue;
      }
      runs_.push_back({.at = TimePoint(std::chrono::nanoseconds(
                           event.value("t_ns", std::int64_t{0}))),
                       .id = event.value("id", ""),
                       .kind = event.value("kind", ""),
                       .workspace = event.value("workspace", ""),
                       .after = event.value("after", 0),
                       .shows_key = event.value("shows_key", false)});
    }
  }
  std::sort(runs_.begin(), runs_.end(),
            [](const Run& a, const Run& b) { return a.at < b.at; });
}

void SoakHistory::CheckRuns(const std::set<std::string>& not_run,
                            std::vector<std::string>& problems) const {
  std::map<std::string, int> orders;
  for (const Run& run : runs_) {
    if (run.kind == "order" && ++orders[run.id] == 2) {
      problems.push_back("order ran more than once: " + run.id);
    }
    if (not_run.contains(run.id)) {
      problems.push_back("request ran although it was guaranteed not to run: " +
                         run.id);
    }
    if (run.shows_key) {
      problems.push_back("backend server received the API key of request " +
                         run.id);
    }
  }
}

void SoakHistory::CheckWithdrawnKey(const std::string& workspace,
                                    TimePoint withdrawn_at,
                                    std::vector<std::string>& problems) const {
  for (const Run& run : runs_) {
    if (run.workspace == workspace &&
        run.at > withdrawn_at + kMaxRevocationDelay) {
      problems.push_back("request ran after the revocation limit of its key: " +
                         run.id);
    }
  }
}

void SoakHistory::CheckRate(const std::string& workspace,
                            double rate,
                            double burst,
                            std::vector<std::string>& problems) const {
  const double allowed =
      (rate * std::chrono::duration<double>(kRateWindow).count() + burst) *
          (1 + kRateTolerance) +
      kRateSlackRequests;
  std::vector<TimePoint> times;
  std::set<std::string> ids;
  for (const Run& run : runs_) {
    if (run.workspace == workspace && ids.insert(run.id).second) {
      times.push_back(run.at);
    }
  }
  size_t begin = 0;
  size_t most = 0;
  for (size_t end = 0; end < times.size(); ++end) {
    while (times[end] - times[begin] > kRateWindow) {
      ++begin;
    }
    most = std::max(most, end - begin + 1);
  }
  if (static_cast<double>(most) > allowed) {
    problems.push_back(std::to_string(most) + " requests of workspace " +
                       workspace + " ran within one rate window, allowed " +
                       std::to_string(static_cast<int>(allowed)));
  }
}

}  // namespace carawayrelay::tools
