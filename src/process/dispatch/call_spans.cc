#include "process/dispatch/call_spans.h"

#include <utility>

namespace carawayrelay {

void CallSpans::Start(const BackendCall& call, Time now) {
  const std::optional<TraceContext> parent = ParseTraceparent(call.traceparent);
  if (!parent || !parent->sampled) {
    return;
  }
  const TraceContext child = MakeChild(parent, rng_);
  open_[call.call] = Span{.trace_id = child.trace_id,
                          .span_id = child.span_id,
                          .parent_id = parent->span_id,
                          .name = "agent " + call.path,
                          .start = now};
}

std::optional<Span> CallSpans::Finish(const BackendEvent& event, Time now) {
  const std::optional<std::string> outcome =
      std::visit(Overloaded{
                     [](const BackendEnd& e) -> std::optional<std::string> {
                       return "status " + std::to_string(e.http_status);
                     },
                     [](const BackendFailed& e) -> std::optional<std::string> {
                       return ToString(e.code);
                     },
                     [](const BackendCancelled&) -> std::optional<std::string> {
                       return "cancelled";
                     },
                     [](const auto&) -> std::optional<std::string> {
                       return std::nullopt;
                     },
                 },
                 event);
  if (!outcome) {
    return std::nullopt;
  }
  const CallId call = std::visit([](const auto& e) { return e.call; }, event);
  auto node = open_.extract(call);
  if (node.empty()) {
    return std::nullopt;
  }
  Span span = std::move(node.mapped());
  span.end = now;
  span.attributes.emplace_back("outcome", *outcome);
  return span;
}

}  // namespace carawayrelay
