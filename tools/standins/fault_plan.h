#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <variant>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

enum class AccessKind { kRead, kWrite };

// The request takes effect after half of `delay`, and its response is sent
// after all of it.
struct Serve {
  Duration delay{0};
  // Whether the connection is closed in place of sending the response.
  bool lose_response = false;
};
// The connection is closed and the request takes no effect.
struct DropRequest {};
// The request gets status 503.
struct RefuseInOutage {};
// The request gets status 429.
struct RefuseOverLimit {};

using FaultDecision =
    std::variant<Serve, DropRequest, RefuseInOutage, RefuseOverLimit>;

// Decides which faults the platform stand-in injects, and limits the reads and
// writes per second. Random faults follow from the seed.
class FaultPlan {
 public:
  struct Options {
    int writes_per_second = 400;
    int reads_per_second = 2000;
  };
  struct Counters {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    // Rejected or dropped requests.
    std::int64_t refused = 0;
    std::int64_t lost_responses = 0;
  };

  explicit FaultPlan(Options options) : options_(options) {}

  // Applies the fields of a control request; README.md lists them.
  void Apply(const nlohmann::json& control);
  FaultDecision Decide(AccessKind kind, TimePoint now);
  const Counters& counters() const { return counters_; }
  // Returns the settings in effect and the counters, as JSON with the names of
  // the control fields.
  nlohmann::json Describe() const;

 private:
  // Counts the request; false if it exceeds the limit of the current second.
  bool TryConsumeQuota(AccessKind kind, TimePoint now);

  Options options_;
  Counters counters_;
  bool outage_ = false;
  std::chrono::milliseconds slow_{0};
  // Numbers of faults that are still to be injected.
  int lose_responses_ = 0;
  int drop_requests_ = 0;
  // Probabilities of faults, from 0 to 1.
  double lose_ratio_ = 0;
  double drop_ratio_ = 0;
  std::mt19937_64 random_{1};
  TimePoint second_start_;
  int reads_in_second_ = 0;
  int writes_in_second_ = 0;
};

}  // namespace carawayrelay::tools
