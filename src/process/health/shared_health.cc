#include "process/health/shared_health.h"

#include <chrono>
#include <utility>
#include <vector>

#include "process/health/health_penalty.h"
#include "process/serving/serving_metrics.h"

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kSynchronizeInterval{500};

}  // namespace

SharedHealth::SharedHealth(std::string node,
                           std::uint64_t seed,
                           BackendDirectory& backends,
                           const RateMembers& members,
                           HealthReportExchange::SendDatagram send)
    : backends_(backends),
      members_(members),
      random_(seed),
      detector_(random_()),
      exchange_(std::move(node), random_(), detector_, std::move(send)) {
  backends_.SetHealthPenalty(
      [this](const BackendDirectory::Backend& backend,
             const BackendDirectory::Query& query,
             TimePoint now) { return PenaltyOf(backend, query, now); });
}

double SharedHealth::PenaltyOf(const BackendDirectory::Backend& backend,
                               const BackendDirectory::Query& query,
                               TimePoint now) {
  if (!detector_.has_findings()) {
    return 0;
  }
  const std::string& id = backend.registration.id;
  const ServerHealth health = detector_.Find(id);
  double draw = 0;
  if (std::holds_alternative<ServerReduced>(health)) {
    draw = std::uniform_real_distribution<double>(0, 1)(random_);
  }
  return HealthPenalty(
      health,
      {.is_repeatable = query.is_repeatable,
       .is_busy = backend.own_calls > 0,
       .service_has_failures = detector_.HasRecentFailures(query.service),
       .is_proven = detector_.IsProven(id)},
      draw, now);
}

void SharedHealth::Synchronize(TimePoint now) {
  std::vector<OutlierDetector::Server> servers;
  for (const auto& [id, backend] : backends_.all()) {
    if (backends_.IsUsable(backend)) {
      servers.push_back({.id = id,
                         .service = backend.registration.service,
                         .key = ServerKeyOf(backend.registration)});
    }
  }
  if (servers != servers_) {
    servers_ = std::move(servers);
    detector_.SetServers(servers_, now);
  }
  std::vector<HealthReportExchange::Peer> peers;
  for (const RateMembers::Peer& peer : members_.peers()) {
    peers.push_back({.node = peer.node, .address = peer.address});
  }
  exchange_.SetPeers(std::move(peers), now);
}

void SharedHealth::Tick(TimePoint now) {
  if (now >= next_synchronize_) {
    next_synchronize_ = now + kSynchronizeInterval;
    Synchronize(now);
  }
  detector_.Tick(now);
  exchange_.Tick(now);
}

void SharedHealth::UpdateMetrics(Metrics& metrics) const {
  namespace names = serving_metrics;
  const OutlierDetector::Counts states = detector_.CountStates();
  const auto set_state = [&](const char* state, int value) {
    metrics.SetGauge(names::kServerHealth, {{"state", state}}, value);
  };
  set_state("reduced", states.reduced);
  set_state("ejected", states.ejected);
  set_state("probing", states.probing);
  const auto count_ejections = [&](const char* event, std::uint64_t value) {
    metrics.SetCounter(names::kEjections, {{"event", event}}, value);
  };
  count_ejections("ejected", detector_.counters().ejected);
  count_ejections("returned", detector_.counters().returned);
  count_ejections("limited", detector_.counters().panics);
  metrics.SetGauge(names::kDistrustedReporters, {}, states.distrusted);
  const HealthReportExchange::Counters& c = exchange_.counters();
  const auto count_reports = [&](const char* event, std::uint64_t value) {
    metrics.SetCounter(names::kHealthReports, {{"event", event}}, value);
  };
  count_reports("sent", c.sent);
  count_reports("received", c.received);
  count_reports("forwarded", c.forwarded);
  count_reports("ignored", c.ignored);
}

}  // namespace carawayrelay
