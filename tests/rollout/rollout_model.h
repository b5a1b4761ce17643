#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "process/rollout/canary_group.h"
#include "process/rollout/rollout_judge.h"
#include "process/rollout/rollout_plan.h"
#include "process/rollout/version_share.h"

namespace carawayrelay {

// How the backend servers of the new version behave in the model. The defaults
// are those of a good version.
struct ModelVersion {
  double failure_rate = 0;  // beyond that of the old version
  double slow_factor = 1;   // of all times
  double slow_share = 1;    // part of the responses that are slow
  std::string only_route;   // empty: on all routes
  double bad_from = 0;      // part of the duration before it turns bad
  // Requests to one server in a second from which it is bad.
  int bad_load = 0;
  // Failure rate of one server alone.
  double one_server_failures = 0;
  // Spread of the pace of servers of both versions (sigma of a log-normal).
  double pace_spread = 0.12;
  // Time in which the servers are cold, and how much slower they are then.
  std::chrono::duration<double> cold_time{0};
  // Whether the registrations tell the cold time.
  bool is_cold_time_known = true;
};

struct ModelResult {
  RolloutStep step = RolloutStep::kObserve;
  std::string reason;
  std::uint64_t canary_requests = 0;
};

// Requests of one service to an old and a new version over the observation of a
// rollout of 12 s, without processes and store: 28 frontends, 150 requests/s in
// streams of 24 events on three routes, 40 old and 40 new backend servers. Each
// server has a pace of its own. The judge sees failures after 0.6 s, because
// they are reported at once, and other responses after 1.2 s.
class RolloutModel {
 public:
  RolloutModel(std::uint64_t seed, ModelVersion version)
      : random_(seed), version_(std::move(version)) {
    std::lognormal_distribution<double> pace(0, version_.pace_spread);
    std::uniform_real_distribution<double> credit(0, 1);
    for (int i = 0; i < kServers; ++i) {
      old_pace_.push_back(pace(random_));
      new_pace_[ServerName(i)] = pace(random_);
    }
    for (int i = 0; i < kFrontends; ++i) {
      shares_.emplace_back(0.08, credit(random_));
    }
  }

  ModelResult Run(double ambient_failures) {
    ambient_failures_ = ambient_failures;
    GenerateRequests();
    std::ranges::sort(observations_, {}, &Observation::at);
    RolloutRow row{.current = "v1",
                   .to = "v2",
                   .step = RolloutStep::kObserve,
                   .duration = std::chrono::seconds(12)};
    VersionStatsMap stats;
    size_t next = 0;
    for (double now = 0; now < kSeconds; now += 0.25) {
      for (; next < observations_.size() &&
             observations_[next].at <= now - kReportDelay;
           ++next) {
        const Observation& seen = observations_[next];
        VersionStats& entry = stats[seen.key];
        switch (seen.kind) {
          case Kind::kFirstEvent:
            entry.first_event.Add(seen.duration);
            break;
          case Kind::kInterval:
            entry.event_interval.Add(seen.duration);
            break;
          case Kind::kEnd:
          case Kind::kFailure:
            ++entry.responses;
            entry.failures += seen.kind == Kind::kFailure ? 1 : 0;
            break;
        }
      }
      const auto decision = NextStep(
          row,
          {.store_now = std::chrono::milliseconds(static_cast<int>(now * 1000)),
           .has_new_servers = true,
           .has_reports = true,
           .judgement = JudgeVersion(stats, "v1", "v2", row.step)});
      if (decision) {
        return {
            .step = decision->step,
            .reason = decision->reason,
            .canary_requests = static_cast<std::uint64_t>(std::ranges::count_if(
                canary_times_, [&](double at) { return at <= now; }))};
      }
    }
    return {};
  }

 private:
  enum class Kind { kFirstEvent, kInterval, kEnd, kFailure };
  struct Observation {
    double at = 0;
    Kind kind = Kind::kEnd;
    VersionKey key;
    Duration duration{0};
  };

  static constexpr int kServers = 40;
  static constexpr int kFrontends = 28;
  static constexpr double kSeconds = 12;
  static constexpr double kRequestsPerSecond = 150;
  // As in the reporter.
  static constexpr double kSlowStart = 3;
  static constexpr double kReportDelay = 1.2;
  static constexpr double kFailureReportDelay = 0.6;
  static constexpr double kFirstEvent = 0.15;
  static constexpr double kInterval = 0.06;
  static constexpr int kEvents = 24;

  static std::string ServerName(int i) { return "server-" + std::to_string(i); }
  static Duration Seconds(double seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::vector<std::string> CanaryGroup(double at) const {
    std::vector<CanaryCandidate> candidates;
    for (int i = 0; i < kServers; ++i) {
      candidates.push_back({.id = ServerName(i)});
    }
    const auto group =
        SelectCanaryGroup(std::move(candidates), kServers, 0.08,
                          static_cast<size_t>(at / kSeconds / 0.34));
    return {group.begin(), group.end()};
  }

  void GenerateRequests() {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    std::lognormal_distribution<double> spread(0, 0.35);
    for (double at = gap(random_); at < kSeconds; at += gap(random_)) {
      VersionShare& share =
          shares_[static_cast<size_t>(Uniform() * kFrontends)];
      const std::string route =
          "route-" + std::to_string(static_cast<int>(Uniform() * 3));
      const bool is_canary = share.AllowsCanary();
      share.NoteSent(is_canary);
      if (is_canary) {
        canary_times_.push_back(at);
        AddCanary(at, route, spread);
      } else {
        const double pace =
            old_pace_[static_cast<size_t>(Uniform() * kServers)];
        AddStream(at, {.version = "v1", .route = route}, pace,
                  ambient_failures_, spread, /*is_cold=*/false);
      }
    }
  }

  void AddCanary(double at,
                 const std::string& route,
                 std::lognormal_distribution<double>& spread) {
    const std::vector<std::string> group = CanaryGroup(at);
    const std::string server =
        group[static_cast<size_t>(Uniform() * group.size())];
    std::deque<double>& recent = recent_[server];
    recent.push_back(at);
    while (recent.front() < at - 1) {
      recent.pop_front();
    }
    const bool is_bad =
        (version_.only_route.empty() || version_.only_route == route) &&
        at >= version_.bad_from * kSeconds &&
        static_cast<int>(recent.size()) >= version_.bad_load;
    double pace = new_pace_[server];
    double failures = ambient_failures_;
    if (is_bad) {
      failures += version_.failure_rate;
      pace *= Uniform() < version_.slow_share ? version_.slow_factor : 1;
    }
    if (server == CanaryGroup(0)[0]) {
      failures += version_.one_server_failures;
    }
    const bool is_cold = at < version_.cold_time.count();
    AddStream(at, {.version = "v2", .route = route, .server = server},
              is_cold ? pace * 4 : pace, failures, spread,
              at < kSlowStart || (is_cold && version_.is_cold_time_known));
  }

  void AddStream(double at,
                 const VersionKey& key,
                 double pace,
                 double failure_rate,
                 std::lognormal_distribution<double>& spread,
                 bool is_cold) {
    const double first = kFirstEvent * pace * spread(random_);
    const double interval = kInterval * pace;
    const double end = first + interval * (kEvents - 1);
    if (Uniform() < failure_rate) {
      observations_.push_back(
          {at + end * Uniform() - kReportDelay + kFailureReportDelay,
           Kind::kFailure, key});
      return;
    }
    if (!is_cold) {
      observations_.push_back(
          {at + first, Kind::kFirstEvent, key, Seconds(first)});
      observations_.push_back(
          {at + first + 5 * interval, Kind::kInterval, key, Seconds(interval)});
    }
    observations_.push_back({at + end, Kind::kEnd, key});
  }

  std::mt19937_64 random_;
  ModelVersion version_;
  double ambient_failures_ = 0;
  std::vector<double> old_pace_;
  std::map<std::string, double> new_pace_;
  std::vector<VersionShare> shares_;
  std::map<std::string, std::deque<double>> recent_;
  std::vector<double> canary_times_;
  std::vector<Observation> observations_;
};

}  // namespace carawayrelay
