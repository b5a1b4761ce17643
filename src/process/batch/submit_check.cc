#include "process/batch/submit_check.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {
namespace {

Refusal RefuseNotRun(RefusalCode code, std::string reason) {
  return {.code = code,
          .run_state = RunState::kNotRun,
          .reason = std::move(reason)};
}

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

// Returns false when a field could break out of its place in the HTTP request
// to the backend server: a line break would add header lines to it.
bool AreHeaderFieldsValid(const Submit& submit) {
  const bool is_path_valid =
      submit.path.empty() ||
      (submit.path.front() == '/' && IsPrintable(submit.path) &&
       submit.path.find(' ') == std::string::npos);
  const bool is_method_valid =
      std::all_of(submit.method.begin(), submit.method.end(),
                  [](char c) { return c >= 'A' && c <= 'Z'; });
  return is_path_valid && is_method_valid && IsPrintable(submit.traceparent) &&
         IsPrintable(submit.idempotency_key);
}

std::optional<Refusal> CheckMessage(const Submit& submit,
                                    const SubmitContext& context) {
  if (submit.chunk.has_value() != (context.link_class == LinkClass::kBatch)) {
    return RefuseNotRun(RefusalCode::kInvalidRequest,
                        "batch items need a chunk and a batch connection");
  }
  if (!AreHeaderFieldsValid(submit)) {
    return RefuseNotRun(RefusalCode::kInvalidRequest,
                        "method, path or header value is malformed");
  }
  return std::nullopt;
}

std::optional<Refusal> CheckAgentState(const Submit& submit,
                                       const SubmitContext& context) {
  if (context.is_draining) {
    return RefuseNotRun(RefusalCode::kLeaving, "the agent is stopping");
  }
  if (context.config == nullptr) {
    return RefuseNotRun(RefusalCode::kNotReady,
                        "the agent has no configuration");
  }
  if (submit.config_version < context.config->version()) {
    return RefuseNotRun(RefusalCode::kStaleConfig,
                        "the agent has configuration version " +
                            std::to_string(ToInt(context.config->version())));
  }
  if (context.config->IsZoneOut(context.zone)) {
    return RefuseNotRun(RefusalCode::kZoneOut,
                        "zone " + context.zone + " is taken out");
  }
  return std::nullopt;
}

std::optional<Refusal> CheckRoute(const Submit& submit,
                                  const SubmitContext& context) {
  const auto& routes = context.routes;
  if (std::find(routes.begin(), routes.end(), submit.route) == routes.end()) {
    return RefuseNotRun(RefusalCode::kNotFound,
                        "route " + submit.route + " is not served here");
  }
  const RouteConfig* route = context.config->FindRoute(submit.route);
  if (route == nullptr) {
    // The configuration update that adds the route may still be in transit on
    // another connection.
    return submit.config_version > context.config->version()
               ? RefuseNotRun(RefusalCode::kNotReady,
                              "the agent has an older configuration")
               : RefuseNotRun(RefusalCode::kNotFound,
                              "route " + submit.route + " is not configured");
  }
  if (!route->open && !ConfigSnapshot::MayUse(*route, submit.workspace)) {
    return RefuseNotRun(
        RefusalCode::kForbidden,
        "route " + submit.route + " is not open to the workspace");
  }
  return std::nullopt;
}

}  // namespace

std::optional<Refusal> CheckSubmit(const Submit& submit,
                                   const SubmitContext& context) {
  if (auto refusal = CheckMessage(submit, context)) {
    return refusal;
  }
  if (auto refusal = CheckAgentState(submit, context)) {
    return refusal;
  }
  return CheckRoute(submit, context);
}

}  // namespace carawayrelay
