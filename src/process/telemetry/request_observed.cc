#include "process/telemetry/request_observed.h"

#include <chrono>

namespace carawayrelay {

std::optional<Span> ToSpan(const RequestObserved& observed) {
  using Clock = std::chrono::system_clock;
  if (!observed.span || !observed.span->sampled) {
    return std::nullopt;
  }
  const Clock::time_point end = Clock::now();
  return Span{
      .trace_id = observed.span->trace_id,
      .span_id = observed.span->span_id,
      .parent_id = observed.parent_span,
      .name = "entry " + observed.route,
      .start =
          end - std::chrono::duration_cast<Clock::duration>(observed.total),
      .end = end,
      .attributes = {
          {"workspace", observed.workspace},
          {"outcome", observed.refused ? ToString(*observed.refused) : "ok"}}};
}

}  // namespace carawayrelay
