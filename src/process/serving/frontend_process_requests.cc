#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "platform/client_codec.h"
#include "process/serving/frontend_process.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Maximum age of the configuration as a fraction of the key revocation time.
constexpr double kMaxConfigAgeFraction = 0.8;
// Retry-After of refusals while this frontend cannot serve requests.
constexpr milliseconds kNotReadyRetry{500};
// Longest time that the store may take for a call about a batch job.
constexpr milliseconds kMaxJobCallTime{4000};
// If the job table is older than this, job requests read from the store.
constexpr milliseconds kMaxJobsAge{1200};

std::string HostOf(const HttpRequest& request) {
  const auto it = request.headers.find("host");
  return it == request.headers.end()
             ? std::string()
             : it->second.substr(0, it->second.find(':'));
}

}  // namespace

std::optional<Refusal> FrontendProcess::RefusalForAnyRequest(
    TimePoint now) const {
  const std::optional<Duration> age = core_->operators().Age(now);
  if (!age) {
    return Refusal{.code = RefusalCode::kNotReady,
                   .reason = "no configuration is known yet",
                   .retry_after = kNotReadyRetry};
  }
  if (*age >= settings_.key_revocation * kMaxConfigAgeFraction) {
    return Refusal{.code = RefusalCode::kStaleConfig,
                   .reason = "the configuration was last confirmed " +
                             std::to_string(ToMilliseconds(*age)) + " ms ago",
                   .retry_after = kNotReadyRetry};
  }
  return std::nullopt;
}

std::optional<Refusal> FrontendProcess::RefusalForStop(
    TimePoint deadline) const {
  if (stop_.AllowsUntil(deadline)) {
    return std::nullopt;
  }
  return Refusal{.code = RefusalCode::kLeaving,
                 .reason = "this entry may stop before the request ends",
                 .retry_after = milliseconds(0)};
}

void FrontendProcess::HandleRequest(HttpRequestArrived arrived, TimePoint now) {
  const ClientCallId client{next_client_++};
  last_active_ = now;
  if (stop_.HasBegun()) {
    arrived.exchange->CloseAfterResponse();
  }
  exchanges_.emplace(client, std::move(arrived.exchange));
  next_tick_ = std::min(next_tick_, now + kTickInterval);
  HttpRequest& request = arrived.request;
  if (auto refusal = RefusalForAnyRequest(now)) {
    Refuse(client, platform::RequestIdOf(request), *std::move(refusal));
    return;
  }
  if (auto refusal = RefusalForSize(request)) {
    Refuse(client, platform::RequestIdOf(request), *std::move(refusal));
    return;
  }
  if (auto call = platform::DecodeJobCall(request)) {
    const ServingConfig& config = *core_->operators().config();
    const std::string host = HostOf(request);
    // Jobs stay readable after the routes on which they were accepted.
    if (config.FindBulkRoute(host) != nullptr ||
        config.FindRoute(host, request.path) == nullptr) {
      HandleJobCall(client, request, *std::move(call), now);
      return;
    }
  }
  Result<ClientCall> call = platform::DecodeClientCall(std::move(request), now);
  if (!call) {
    Refuse(
        client, "",
        {.code = RefusalCode::kInvalidRequest, .reason = call.error().message});
    return;
  }
  call.value().client = client;
  HandleClientCall(std::move(call).value(), now);
}

void FrontendProcess::UpdateRequestLimits() {
  const ClientLimits& limits = core_->operators().config()->limits();
  const HttpServer::RequestLimits defaults;
  core_->request_memory()->SetMaxBytes(
      RequestBytesFor(settings_.memory, limits.body_bytes));
  clients_server_->SetRequestLimits(
      {.body_bytes = limits.body_bytes,
       .field_bytes = limits.header_bytes,
       .head_timeout = limits.head_timeout,
       .body_timeout = std::max(defaults.body_timeout, limits.idle_timeout),
       .idle_timeout = limits.idle_timeout});
}

std::optional<Refusal> FrontendProcess::RefusalForSize(
    const HttpRequest& request) const {
  const ClientLimits& limits = core_->operators().config()->limits();
  if (request.body.size() > limits.body_bytes) {
    return Refusal{.code = RefusalCode::kTooLarge,
                   .reason = "the body is over the limit of " +
                             std::to_string(limits.body_bytes) + " bytes"};
  }
  size_t header_bytes = request.path.size() + request.query.size();
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  if (header_bytes > limits.header_bytes) {
    return Refusal{.code = RefusalCode::kHeadersTooLarge,
                   .reason = "the headers are over the limit of " +
                             std::to_string(limits.header_bytes) + " bytes"};
  }
  return std::nullopt;
}

void FrontendProcess::HandleJobCall(ClientCallId client,
                                    const HttpRequest& request,
                                    platform::JobCall call,
                                    TimePoint now) {
  const std::string id = platform::RequestIdOf(request);
  const ServingWorkspace* workspace =
      core_->operators().config()->FindWorkspaceByKey(
          platform::ApiKeyOf(request));
  if (workspace == nullptr) {
    Refuse(client, id,
           {.code = RefusalCode::kUnauthorized, .reason = "unknown key"});
    return;
  }
  if (auto refusal = RefusalForStop(now + kMaxJobCallTime)) {
    Refuse(client, id, *std::move(refusal));
    return;
  }
  job_api_->Handle(client, std::move(call), workspace->name,
                   core_->jobs().IsCurrent(kMaxJobsAge, now));
}

void FrontendProcess::HandleClientCall(ClientCall call, TimePoint now) {
  const ServingConfig& config = *core_->operators().config();
  const ServingRoute* route = config.FindRoute(call.host, call.path);
  if (route == nullptr) {
    Refuse(call.client, call.request_id,
           {.code = RefusalCode::kNotFound, .reason = "no such route"});
    return;
  }
  const ServingWorkspace* workspace = nullptr;
  if (!route->is_open) {
    workspace = config.FindWorkspaceByKey(call.key);
    if (workspace == nullptr) {
      Refuse(call.client, call.request_id,
             {.code = RefusalCode::kUnauthorized, .reason = "unknown key"});
      return;
    }
  }
  const bool is_job = route->call_class == CallClass::kBulk;
  if (auto refusal =
          RefusalForStop(is_job ? now + kMaxJobCallTime
                                : OnlineForwarder::DeadlineOf(call, *route))) {
    Refuse(call.client, call.request_id, *std::move(refusal));
    return;
  }
  if (is_job && workspace != nullptr) {
    job_intake_->Submit(call,
                        {.route = *route,
                         .workspace = *workspace,
                         .config_version = config.version()},
                        now);
    return;
  }
  forwarder_->HandleRequest(std::move(call), *route, workspace, now);
}

void FrontendProcess::Refuse(ClientCallId client,
                             const std::string& request_id,
                             Refusal refusal) {
  const auto& operators = core_->operators();
  LogDecision(LogEvent::kRequestRefused, "id", request_id, "code",
              ToString(refusal.code), "reason", refusal.reason,
              "config_version",
              operators.config() ? operators.config()->version() : kNoConfig);
  SendResponse(client, std::move(refusal));
}

}  // namespace carawayrelay
