#include "platform/client_codec.h"
#include "process/serving/frontend_process.h"
#include "process/serving/serving_metrics.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kMetricsInterval{1000};
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

}  // namespace

void FrontendProcess::UpdateReadiness(TimePoint now) {
  const bool is_ready =
      !stop_.HasBegun() && !RefusalForAnyRequest(now) && rates_.IsReady(now) &&
      core_->backends().size() > 0 &&
      (core_->rollouts() == nullptr || core_->rollouts()->IsKnown());
  if (is_ready_.exchange(is_ready) != is_ready) {
    const std::optional<Duration> age = core_->operators().Age(now);
    LogDecision(LogEvent::kServingReadiness, "ready", is_ready, "config_age_ms",
                age ? ToMilliseconds(*age) : -1, "knows_members",
                rates_.members().IsKnown(), "runners",
                core_->backends().size());
  }
}

void FrontendProcess::UpdateMetrics(TimePoint now) {
  if (now < next_metrics_) {
    return;
  }
  next_metrics_ = now + kMetricsInterval;
  namespace names = serving_metrics;
  Metrics& metrics = core_->metrics();
  const OnlineForwarder::Counters& c = forwarder_->counters();
  const auto count = [&](const char* event, std::uint64_t value) {
    metrics.SetCounter(names::kRequestEvents, {{"event", event}}, value);
  };
  count("served", c.served);
  count("refused", c.refused);
  count("broken", c.broken);
  count("abandoned", c.abandoned);
  count("resent", c.resent);
  count("quarantined", c.quarantined);
  count("held", c.with_reservation);
  count("unheld", c.without_reservation);
  metrics.SetGauge(names::kRequestsActive, {},
                   static_cast<double>(forwarder_->active()));
  metrics.SetGauge(names::kRateMembers, {},
                   static_cast<double>(rates_.members().size()));
  const RateAdmission::Counters& rates = rates_.counters();
  const auto count_rates = [&](const char* event, std::uint64_t value) {
    metrics.SetCounter(names::kRateQueries, {{"event", event}}, value);
  };
  count_rates("asked", rates.asked);
  count_rates("repeated", rates.repeated);
  count_rates("alone", rates.alone);
  count_rates("waited", rates.waited);
  const PaceProber::Counters& probes = forwarder_->prober().counters();
  metrics.SetCounter(names::kPaceProbes, {{"result", "answered"}},
                     probes.answered);
  metrics.SetCounter(names::kPaceProbes, {{"result", "unanswered"}},
                     probes.unanswered);
  health_->UpdateMetrics(metrics);
  core_->UpdateMetrics(now);
}

void FrontendProcess::Observe(const RequestObserved& observed) {
  core_->metrics().Observe(observed);
  if (auto span = ToSpan(observed); span && telemetry_) {
    telemetry_->TryPush(*std::move(span));
  }
}

void FrontendProcess::ObserveAttempt(const AttemptOutcome& outcome,
                                     TimePoint now) {
  core_->backends().NoteAttempt(outcome, now);
  if (settings_.shares_health) {
    health_->detector().NoteOutcome(outcome, now);
  }
  if (rollout_reporter_) {
    rollout_reporter_->ObserveEnd(outcome, now);
  }
  core_->metrics().Count(serving_metrics::kAttempts,
                         {{"result", ToString(outcome.result)}});
}

void FrontendProcess::MakeRollouts() {
  if (core_->rollouts() == nullptr) {
    return;
  }
  rollout_reporter_ = std::make_unique<RolloutReporter>(
      settings_.node, *core_->rollouts(), core_->backends(), core_->store(),
      core_->clock());
  rollout_coordinator_ = std::make_unique<RolloutCoordinator>(
      settings_.node, seed_, *core_->rollouts(), core_->operators(),
      core_->store(), core_->clock());
}

void FrontendProcess::TickRollouts(TimePoint now) {
  if (core_->rollouts() == nullptr) {
    return;
  }
  core_->rollouts()->SetFrontends(rates_.members().size());
  rollout_reporter_->Tick(now);
  rollout_coordinator_->Tick(now);
}

void FrontendProcess::HandleMonitoringRequest(const HttpRequest& request,
                                              const HttpExchangePtr& exchange) {
  if (request.path == kMetricsPath) {
    exchange->Respond(200, {{"Content-Type", kMetricsType}},
                      core_->metrics().ToPrometheusText());
  } else if (request.path == platform::kReadyPath) {
    exchange->Respond(is_ready_ ? 200 : 503, {}, is_ready_ ? "ready\n" : "\n");
  } else {
    exchange->Respond(404, {}, "");
  }
}

}  // namespace carawayrelay
