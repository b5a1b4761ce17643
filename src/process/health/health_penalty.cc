#include "process/health/health_penalty.h"

#include <chrono>

#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// In the order of preference. BackendDirectory adds 100 to the cost of a
// backend server that just failed in this process.
constexpr double kSkippedPenalty = 50;
constexpr double kProbingPenalty = 150;
constexpr double kEjectedPenalty = 200;
// For requests that must not be repeated. Small, so that they do not overload
// the few backend servers that are proven.
constexpr double kUnprovenPenalty = 0.25;
// Until then only repeatable requests probe a backend server. Some services
// have none.
constexpr std::chrono::milliseconds kRepeatableProbing{2000};

}  // namespace

double HealthPenalty(const ServerHealth& health,
                     const HealthQuery& query,
                     double draw,
                     TimePoint now) {
  const bool prefers_proven =
      !query.is_repeatable && query.service_has_failures;
  const double unproven =
      prefers_proven && !query.is_proven ? kUnprovenPenalty : 0;
  return std::visit(
      Overloaded{
          [&](const ServerInUse&) { return unproven; },
          [&](const ServerReduced& reduced) {
            return unproven + (draw >= reduced.weight ? kSkippedPenalty : 0);
          },
          [](const ServerEjected&) { return kEjectedPenalty; },
          [&](const ServerProbing& probing) {
            const bool may_probe =
                !query.is_busy && (query.is_repeatable ||
                                   now - probing.since >= kRepeatableProbing);
            return may_probe ? unproven : kProbingPenalty;
          },
      },
      health);
}

}  // namespace carawayrelay
