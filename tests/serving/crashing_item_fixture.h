#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "serving/worker_fleet_fixture.h"

namespace carawayrelay {

// Workers whose backend servers crash when they answer an item with the part
// "dead01". A crashed one is back after three seconds, as another start.
struct CrashingItemFixture : WorkerFleetFixture {
  CrashingItemFixture() {
    AddWorkers(5);
    on_run = [this](const OutboundCall& call) { return AnswerRun(call); };
  }

  static std::string SubmissionWithParts(
      const std::vector<std::string>& parts_of_items) {
    nlohmann::json list = nlohmann::json::array();
    for (size_t i = 0; i < parts_of_items.size(); ++i) {
      list.push_back(
          {{"id", "item-" + std::to_string(i)},
           {"path", "/b/1"},
           {"headers",
            {{"X-Carawayrelay-Prompt-Prefix", parts_of_items[i] + ",0a:1"}}},
           {"body", platform::ToBase64("body")},
           {"tokens", 100}});
    }
    return nlohmann::json{{"items", std::move(list)}}.dump();
  }
  bool AnswerRun(const OutboundCall& call) {
    const bool is_deadly =
        FindHeader(call.headers, "x-carawayrelay-prompt-prefix")
            .find("dead01") != std::string::npos;
    const bool is_unlucky = unlucky_runs > 0;
    if (!is_deadly && !is_unlucky && !resets_connections) {
      return false;
    }
    unlucky_runs -= is_unlucky ? 1 : 0;
    if (events_before_cut > 0) {
      const std::string last = FindHeader(call.headers, "last-event-id");
      const int first = last.empty() ? 1 : std::stoi(last) + 1;
      Head(call.id, 200, SignedFor(call));
      for (int i = first; i < first + events_before_cut; ++i) {
        Data(call.id, "id: " + std::to_string(i) + "\ndata: x\n\n");
      }
    }
    Fail(call.id, /*was_sent=*/true, "Connection reset by peer");
    if (is_deadly || is_unlucky) {
      Crash(call.address);
    }
    return true;
  }
  // How long after the last crash a sound item may wait for its result.
  static constexpr std::chrono::milliseconds kItemBound{18000};

  void Crash(const std::string& address) {
    crashes.push_back(now());
    down.insert(address);
    restarts[address] = now() + std::chrono::seconds(3);
  }
  // Runs for this long, with restarts of the servers that crashed.
  void RunWithRestarts(std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time;
         passed += std::chrono::milliseconds(100)) {
      for (auto it = restarts.begin(); it != restarts.end();) {
        if (now() < it->second) {
          ++it;
          continue;
        }
        down.erase(it->first);
        Register(it->first);
        it = restarts.erase(it);
      }
      RunFor(std::chrono::milliseconds(100));
    }
  }
  void Register(const std::string& address) {
    for (const auto& worker : workers) {
      if (worker->address == address) {
        worker->backends.Apply(
            {BackendRow("start-" + std::to_string(++starts), address)}, true,
            std::nullopt, now());
      }
    }
  }
  // Number of crashes more than `time` after the fifth one.
  size_t CrashesAfterFifth(std::chrono::milliseconds time) const {
    return crashes.size() < 5 ? 0
                              : static_cast<size_t>(std::ranges::count_if(
                                    crashes, [&](TimePoint at) {
                                      return at > crashes[4] + time;
                                    }));
  }

  std::map<std::string, TimePoint> restarts;  // by address
  std::vector<TimePoint> crashes;
  int starts = 0;
  int events_before_cut = 0;
  int unlucky_runs = 0;  // whose servers crash, whatever the item holds
  bool resets_connections = false;  // without a crash
};

}  // namespace carawayrelay
