#include "standins/fault_plan.h"

namespace carawayrelay::tools {

void FaultPlan::Apply(const nlohmann::json& control) {
  outage_ = control.value("outage", outage_);
  slow_ = std::chrono::milliseconds(control.value("slow_ms", slow_.count()));
  lose_responses_ = control.value("lose_responses", lose_responses_);
  drop_requests_ = control.value("drop_requests", drop_requests_);
  lose_ratio_ = control.value("lose_ratio", lose_ratio_);
  drop_ratio_ = control.value("drop_ratio", drop_ratio_);
  options_.writes_per_second =
      control.value("writes_per_second", options_.writes_per_second);
  options_.reads_per_second =
      control.value("reads_per_second", options_.reads_per_second);
  if (control.contains("seed")) {
    random_.seed(control["seed"].get<std::uint64_t>());
  }
}

FaultDecision FaultPlan::Decide(AccessKind kind, TimePoint now) {
  if (outage_) {
    ++counters_.refused;
    return RefuseInOutage{};
  }
  if (!TryConsumeQuota(kind, now)) {
    ++counters_.refused;
    return RefuseOverLimit{};
  }
  Serve serve{slow_, false};
  if (kind == AccessKind::kRead) {
    ++counters_.reads;
    return serve;
  }
  const double chance = std::uniform_real_distribution<double>(0, 1)(random_);
  if (drop_requests_ > 0 || chance < drop_ratio_) {
    drop_requests_ -= drop_requests_ > 0 ? 1 : 0;
    ++counters_.refused;
    return DropRequest{};
  }
  ++counters_.writes;
  if (lose_responses_ > 0 || chance - drop_ratio_ < lose_ratio_) {
    lose_responses_ -= lose_responses_ > 0 ? 1 : 0;
    ++counters_.lost_responses;
    serve.lose_response = true;
  }
  return serve;
}

bool FaultPlan::TryConsumeQuota(AccessKind kind, TimePoint now) {
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    reads_in_second_ = 0;
    writes_in_second_ = 0;
  }
  return kind == AccessKind::kRead
             ? ++reads_in_second_ <= options_.reads_per_second
             : ++writes_in_second_ <= options_.writes_per_second;
}

nlohmann::json FaultPlan::Describe() const {
  return {{"outage", outage_},
          {"slow_ms", slow_.count()},
          {"lose_responses", lose_responses_},
          {"drop_requests", drop_requests_},
          {"lose_ratio", lose_ratio_},
          {"drop_ratio", drop_ratio_},
          {"writes_per_second", options_.writes_per_second},
          {"reads_per_second", options_.reads_per_second},
          {"reads", counters_.reads},
          {"writes", counters_.writes},
          {"refused", counters_.refused},
          {"lost_responses", counters_.lost_responses}};
}

}  // namespace carawayrelay::tools
