#include "process/forward/pace_prober.h"

#include <memory>
#include <utility>
#include <vector>

#include "platform/backend_codec.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// With four candidates, one that is fast at the moment is nearly always among
// them.
constexpr size_t kProbesPerRequest = 4;
constexpr double kProbesPerSecond = 60;
constexpr double kProbeBurst = 30;

}  // namespace

// Probes that belong to one request.
struct PaceProber::Round {
  size_t open = 0;
  std::function<void()> done;
};

bool PaceProber::HasFigures(const std::string& service, TimePoint now) {
  const bool has_figures = backends_.HasPaceFigures(service, now);
  if (has_figures != services_with_figures_.contains(service)) {
    if (has_figures) {
      services_with_figures_.insert(service);
    } else {
      services_with_figures_.erase(service);
    }
    LogDecision(LogEvent::kPaceFiguresChanged, "service", service,
                "has_figures", has_figures);
  }
  return has_figures;
}

bool PaceProber::Start(const BackendDirectory::Query& query,
                       std::function<void()> done,
                       TimePoint now) {
  const auto path = health_paths_.find(query.service);
  if (path == health_paths_.end() || !HasFigures(query.service, now)) {
    return false;
  }
  if (!budget_) {
    budget_.emplace(kProbesPerSecond, kProbeBurst, now);
  }
  if (budget_->TokensAt(now) < kProbesPerRequest) {
    return false;
  }
  struct Target {
    std::string id;
    std::string address;
  };
  std::vector<Target> targets;
  BackendDirectory::Query rest = query;
  while (targets.size() < kProbesPerRequest) {
    const BackendDirectory::Backend* backend = backends_.Choose(rest, now);
    if (backend == nullptr) {
      break;
    }
    targets.push_back(
        {backend->registration.id, backend->registration.address});
    rest.excluded.insert(backend->registration.id);
  }
  if (targets.size() < 2) {
    return false;  // there is nothing to choose from
  }
  budget_->Spend(static_cast<double>(targets.size()), now);
  const auto round = std::make_shared<Round>(
      Round{.open = targets.size(), .done = std::move(done)});
  for (const Target& target : targets) {
    Probe(target.id, target.address, path->second, round);
  }
  return true;
}

void PaceProber::Probe(const std::string& id,
                       const std::string& address,
                       const std::string& path,
                       const std::shared_ptr<Round>& round) {
  const auto has_head = std::make_shared<bool>(false);
  calls_.Start(
      platform::EncodeHealthCall(address, path),
      [this, id, round, has_head](CallEvent& event) {
        BackendDirectory::Backend* backend = backends_.Find(id);
        std::visit(
            Overloaded{
                [&](const CallHead& head) {
                  *has_head = true;
                  const platform::BackendResponseHead response =
                      platform::DecodeBackendResponseHead(head);
                  if (backend != nullptr && response.load) {
                    backends_.NoteLoad(*backend, *response.load, clock_.now());
                  }
                  if (response.is_leaving) {
                    backends_.NoteLeaving(id, clock_.now());
                  }
                },
                [](const CallData&) {},
                [&](const CallEnd&) {
                  ++(*has_head ? counters_.answered : counters_.unanswered);
                  if (backend != nullptr && !*has_head) {
                    backends_.NoteFull(*backend, clock_.now());
                  }
                  if (--round->open == 0) {
                    round->done();
                  }
                },
            },
            event);
      });
}

}  // namespace carawayrelay
