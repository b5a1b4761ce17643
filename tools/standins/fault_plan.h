#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <variant>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

enum class AccessKind { kRead, kWrite };

// Takes effect after half of `delay` and is answered after all of it.
struct Serve {
  Duration delay{0};
  // The connection is closed without a response after the effect.
  bool lose_response = false;
};
// The connection is closed and nothing takes effect.
struct DropRequest {};
// Status 503.
struct RefuseInOutage {};
// Status 429.
struct RefuseOverLimit {};

using FaultDecision =
    std::variant<Serve, DropRequest, RefuseInOutage, RefuseOverLimit>;

// Decides which faults the platform stand-in shows, and limits reads and
// writes in each second.
class FaultPlan {
 public:
  struct Options {
    int writes_per_second = 400;
    int reads_per_second = 2000;
  };
  struct Counters {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t refused = 0;
    std::int64_t lost_responses = 0;
  };

  explicit FaultPlan(Options options) : options_(options) {}

  // Applies the fields of a control request; README.md lists them.
  void Apply(const nlohmann::json& control);
  FaultDecision Decide(AccessKind kind, TimePoint now);
  const Counters& counters() const { return counters_; }
  // The settings in effect, as JSON with the names of the control fields.
  nlohmann::json Describe() const;

 private:
  bool TryConsumeQuota(AccessKind kind, TimePoint now);

  Options options_;
  Counters counters_;
  bool outage_ = false;
  std::chrono::milliseconds slow_{0};
  int lose_responses_ = 0;
  int drop_requests_ = 0;
  double lose_ratio_ = 0;
  double drop_ratio_ = 0;
  std::mt19937_64 random_{1};
  TimePoint second_start_;
  int reads_in_second_ = 0;
  int writes_in_second_ = 0;
};

}  // namespace carawayrelay::tools
