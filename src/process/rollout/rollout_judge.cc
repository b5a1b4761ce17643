#include "process/rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace carawayrelay {
namespace {

// Probabilities that a good version shows as many bad responses. Several tests
// are made each half second, so the limits are far below the error rate that
// docs/design/rollout.md states.
constexpr double kBadProbability = 0.001;
constexpr double kLikelyBadProbability = 0.065;
constexpr double kSuspiciousProbability = 0.07;
constexpr double kMinBad = 3;
constexpr double kMinLikelyBad = 2;
// As long as only one backend server has responses, its failures may be its
// own. The responses of the others arrive later if they are good.
constexpr double kMinBadOfOnlyServer = 16;
// What the rate of the old version is multiplied by and increased by, because
// its responses are a sample and few servers serve the canary version.
constexpr double kFailureFactor = 1.5;
constexpr double kMinFailureRate = 0.004;
constexpr double kSlowFactor = 1.5;
constexpr double kMinSlowRate = 0.05;
constexpr double kMinVerySlowRate = 0.02;
constexpr double kMinSlowRateAfterSwitch = 0.25;
// Durations of the old version below which slowness is not judged.
constexpr std::uint64_t kMinOldDurations = 30;
constexpr double kTailQuantile = 0.95;
// Buckets above the tail quantile at which a duration is very slow: 1.5 times.
constexpr size_t kVerySlowBuckets = 3;

// Bad responses of one backend server, and how many a good version would have.
struct ServerCount {
  double bad = 0;
  double expected = 0;
  std::uint64_t responses = 0;
};
using ServerCounts = std::map<std::string, ServerCount>;

// Returns the probability of at least `count` events where `expected` events
// are expected (Poisson).
double Tail(double count, double expected) {
  double term = std::exp(-expected);
  double below = 0;
  for (int i = 0; i < static_cast<int>(count); ++i) {
    below += term;
    term *= expected / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

struct TestResult {
  RolloutVerdict verdict = RolloutVerdict::kClear;
  double bad = 0;
  double expected = 0;
};

TestResult Test(const ServerCounts& servers, bool is_failure) {
  ServerCount all;
  const ServerCount* worst = nullptr;
  for (const auto& [server, count] : servers) {
    all.bad += count.bad;
    all.expected += count.expected;
    if (worst == nullptr ||
        count.bad - count.expected > worst->bad - worst->expected) {
      worst = &count;
    }
  }
  ServerCount rest = all;
  double min_bad = kMinBadOfOnlyServer;
  if (servers.size() > 1) {
    rest.bad -= worst->bad;
    rest.expected -= worst->expected;
    min_bad = kMinBad;
  }
  TestResult result{.bad = all.bad, .expected = all.expected};
  const double tail = Tail(rest.bad, rest.expected);
  if (rest.bad >= min_bad && tail < kBadProbability) {
    result.verdict = RolloutVerdict::kBad;
  } else if (is_failure && rest.bad >= kMinLikelyBad &&
             tail < kLikelyBadProbability) {
    result.verdict = RolloutVerdict::kLikelyBad;
  } else if (all.bad >= kMinLikelyBad &&
             Tail(all.bad, all.expected) < kSuspiciousProbability) {
    result.verdict = RolloutVerdict::kSuspicious;
  }
  return result;
}

// A property by which a response is bad, and how often a good version may have
// it.
struct Criterion {
  const char* name;
  bool is_failure = false;
  // Returns the rate at which a good version is expected to have it, given the
  // statistics of the old version; negative when this cannot be told.
  std::function<double(const VersionStats& old)> rate;
  // Returns how many responses there are, and how many of them have it.
  std::function<std::pair<std::uint64_t, std::uint64_t>(
      const VersionStats& stats,
      const VersionStats& old)>
      count;
};

using HistogramField = DurationHistogram VersionStats::*;

// `margin` is added to the bucket of the quantile of the old version.
Criterion SlowCriterion(const char* name,
                        HistogramField field,
                        double quantile,
                        size_t margin,
                        double min_rate) {
  const auto limit = [=](const VersionStats& old) {
    return (old.*field).QuantileBucket(quantile) + margin;
  };
  return {
      .name = name,
      .rate =
          [=](const VersionStats& old) {
            const DurationHistogram& durations = old.*field;
            if (durations.total() < kMinOldDurations) {
              return -1.0;
            }
            return kSlowFactor *
                       static_cast<double>(durations.CountAbove(limit(old))) /
                       static_cast<double>(durations.total()) +
                   min_rate;
          },
      .count =
          [=](const VersionStats& stats, const VersionStats& old) {
            return std::pair{(stats.*field).total(),
                             (stats.*field).CountAbove(limit(old))};
          }};
}

std::vector<Criterion> MakeCriteria() {
  std::vector<Criterion> criteria;
  criteria.push_back({.name = "failures",
                      .is_failure = true,
                      .rate =
                          [](const VersionStats& old) {
                            return std::max(
                                kMinFailureRate,
                                kFailureFactor *
                                    (static_cast<double>(old.failures) + 0.5) /
                                    (static_cast<double>(old.responses) + 1));
                          },
                      .count =
                          [](const VersionStats& stats, const VersionStats&) {
                            return std::pair{stats.responses, stats.failures};
                          }});
  const std::pair<const char*, HistogramField> fields[] = {
      {"time to the first event", &VersionStats::first_event},
      {"time between events", &VersionStats::event_interval},
      {"response time", &VersionStats::total}};
  for (const auto& [name, field] : fields) {
    criteria.push_back(SlowCriterion(name, field, 0.5,
                                     DurationHistogram::kBucketsPerDoubling,
                                     kMinSlowRate));
    criteria.push_back(SlowCriterion(name, field, kTailQuantile,
                                     kVerySlowBuckets, kMinVerySlowRate));
  }
  return criteria;
}

}  // namespace

RolloutJudgement JudgeVersion(const VersionStatsMap& stats,
                              const std::string& old_version,
                              const std::string& new_version,
                              RolloutStep step) {
  RolloutJudgement judgement;
  std::set<std::string> routes;
  std::map<std::string, VersionStats> old_stats;  // by route
  for (const auto& [key, item] : stats) {
    routes.insert(key.route);
    if (key.version == old_version) {
      old_stats[key.route].Merge(item);
      judgement.old_responses += item.responses;
    } else if (key.version == new_version) {
      judgement.new_responses += item.responses;
    }
  }
  const auto apply = [&](const Criterion& criterion, const std::string& scope,
                         const ServerCounts& servers) {
    const TestResult result = Test(servers, criterion.is_failure);
    if (result.verdict > judgement.verdict) {
      judgement.verdict = result.verdict;
      judgement.reason = std::string(criterion.name) + " on " + scope + ": " +
                         std::to_string(static_cast<int>(result.bad)) +
                         " bad responses where " +
                         std::to_string(result.expected) + " are expected";
    }
  };
  static const std::vector<Criterion> criteria = MakeCriteria();
  for (const Criterion& criterion : criteria) {
    ServerCounts of_all;
    for (const std::string& route : routes) {
      const VersionStats& old = old_stats[route];
      double rate = criterion.rate(old);
      if (rate < 0) {
        continue;
      }
      if (step == RolloutStep::kSwitch && !criterion.is_failure) {
        rate = std::max(rate, kMinSlowRateAfterSwitch);
      }
      ServerCounts of_route;
      for (const auto& [key, item] : stats) {
        const auto [responses, bad] = criterion.count(item, old);
        if (key.version != new_version || key.route != route ||
            responses == 0) {
          continue;
        }
        for (ServerCounts* counts : {&of_route, &of_all}) {
          ServerCount& count = (*counts)[key.server];
          count.responses += responses;
          count.bad += static_cast<double>(bad);
          count.expected += rate * static_cast<double>(responses);
        }
      }
      apply(criterion, "route " + route, of_route);
    }
    apply(criterion, "all routes", of_all);
  }
  return judgement;
}

}  // namespace carawayrelay
