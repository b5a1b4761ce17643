#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "property.h"
#include "rollout/rollout_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// What happens to a process, or to all, in one step of the property.
enum class Incident {
  kNone,
  kKill,     // and another one starts
  kFreeze,   // until the next incident of the process
  kCutOff,   // its calls to the store are lost
  kOutage,   // the store refuses all processes
  kNoReply,  // the store executes the calls of the process, but does not reply
  kRestore,
};

struct ExposureModel : RolloutFixture {
  ExposureModel() {
    for (int i = 0; i < 4; ++i) {
      Add();
    }
    PutNewServers();
    Run(milliseconds(400), [&] { SendAll(); });
    canary = total = 0;
    PutSpec();
  }

  void Inject(Incident incident, size_t index) {
    Item& item = processes[index % processes.size()];
    switch (incident) {
      case Incident::kNone:
        break;
      case Incident::kKill:
        since.clear();
        processes.erase(processes.begin() +
                        static_cast<long>(index % processes.size()));
        Add();
        break;
      case Incident::kFreeze:
        item.process->is_frozen = !item.process->is_frozen;
        break;
      case Incident::kCutOff:
        item.process->fault = StoreFault::kLoseCall;
        break;
      case Incident::kNoReply:
        item.process->fault = StoreFault::kLoseResponse;
        break;
      case Incident::kOutage:
        for (Item& other : processes) {
          other.process->fault = StoreFault::kRefuse;
        }
        break;
      case Incident::kRestore:
        for (Item& other : processes) {
          other.process->fault = StoreFault::kNone;
          other.process->is_frozen = false;
        }
        break;
    }
  }
  // Requests stay under the canary share in `observe`, and never go to the new
  // version of a rollout that is over.
  void SendAll() {
    for (Item& item : processes) {
      if (item.process->is_frozen) {
        continue;
      }
      const auto version = item.process->Send();
      if (!version) {
        continue;
      }
      const auto row = Row();
      const bool is_observed = !row || row->step == RolloutStep::kObserve;
      if (is_observed) {
        ++total;
        canary += *version == "v2" ? 1 : 0;
      }
      item.process->EndLast(is_bad && *version == "v2"
                                ? AttemptResult::kFailed
                                : AttemptResult::kAnswered,
                            now);
      if (row && row->step == RolloutStep::kRolledBack && *version == "v2") {
        last_after_rollback = now;
      }
    }
    const auto row = Row();
    if (row && row->step == RolloutStep::kRolledBack && !rolled_back_at) {
      rolled_back_at = now;
    }
    if (row) {
      went_back |= row->step < last_step;
      last_step = row->step;
    }
  }

  bool is_bad = false;
  bool went_back = false;
  RolloutStep last_step = RolloutStep::kObserve;
  std::uint64_t total = 0;
  std::uint64_t canary = 0;
  std::optional<TimePoint> rolled_back_at;
  std::optional<TimePoint> last_after_rollback;
};

struct RolloutExposureFixture {
  static std::vector<std::pair<Incident, size_t>> Incidents() {
    const auto incident = rc::gen::pair(
        rc::gen::element(Incident::kNone, Incident::kKill, Incident::kFreeze,
                         Incident::kCutOff, Incident::kOutage,
                         Incident::kNoReply, Incident::kRestore),
        rc::gen::inRange<size_t>(0, 8));
    return *rc::gen::container<std::vector<std::pair<Incident, size_t>>>(
        18, incident);
  }
};

// Guards against a version that gets more than its share, whatever happens to
// processes and store, and against a process that uses a version long after it
// was rolled back. The bound has no tolerance: a share of 0.08, and less than
// one request of each frontend that knew the table before the spec.
TEST_CASE_FIXTURE(RolloutExposureFixture,
                  "Rollout, any order of failures, exposure is bounded") {
  CheckProperty("exposure of a version", [] {
    ExposureModel model;
    model.is_bad = *rc::gen::arbitrary<bool>();
    for (const auto& [incident, index] : Incidents()) {
      model.Inject(incident, index);
      model.Run(milliseconds(700), [&] { model.SendAll(); });
    }
    RC_ASSERT(static_cast<double>(model.canary) <=
              0.08 * static_cast<double>(model.total) + 4);
    RC_ASSERT(!model.went_back);
    if (model.is_bad) {
      RC_ASSERT(model.last_step != RolloutStep::kComplete);
    }
    if (model.last_after_rollback) {
      RC_ASSERT(*model.last_after_rollback - *model.rolled_back_at <=
                model.settings.MaxStepAge());
    }
  });
}

}  // namespace
}  // namespace carawayrelay
