#include "process/rollout/rollout_plan.h"

#include <doctest/doctest.h>

#include <chrono>

#include "process/rollout/version_rules.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct RolloutPlanFixture {
  RolloutRow row{.current = "v1",
                 .to = "v2",
                 .spec_version = 5,
                 .step = RolloutStep::kObserve,
                 .started = milliseconds(100000),
                 .duration = milliseconds(12000)};
  RolloutInputs inputs{
      .has_new_servers = true,
      .has_reports = true,
      .judgement = {.old_responses = 1000, .new_responses = 90}};

  // Returns the step after `elapsed`, or the present one.
  RolloutStep After(milliseconds elapsed) {
    inputs.store_now = row.started + elapsed;
    const auto decision = NextStep(row, inputs);
    return decision ? decision->step : row.step;
  }
  void BeginSwitch(milliseconds elapsed) {
    row.step = RolloutStep::kSwitch;
    row.step_began = row.started + elapsed;
  }
};

// Guards against a switch before versions that turn bad late are found.
TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "RolloutPlan, nothing found, switches late") {
  CHECK(After(milliseconds(8000)) == RolloutStep::kObserve);
  CHECK(After(milliseconds(8200)) == RolloutStep::kSwitch);
  inputs.judgement.verdict = RolloutVerdict::kSuspicious;
  CHECK(After(milliseconds(8200)) == RolloutStep::kObserve);
  CHECK(After(milliseconds(9600)) == RolloutStep::kSwitch);
  inputs.judgement.verdict = RolloutVerdict::kLikelyBad;
  CHECK(After(milliseconds(8200)) == RolloutStep::kObserve);
  CHECK(After(milliseconds(9600)) == RolloutStep::kRolledBack);
  inputs.judgement.verdict = RolloutVerdict::kBad;
  CHECK(After(milliseconds(100)) == RolloutStep::kRolledBack);
}

// Guards against a switch to a version that nobody has seen, by a coordinator
// without reports or at a time when no frontend reached the version.
TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "RolloutPlan, no evidence, is rolled back in time") {
  inputs.judgement.new_responses = 5;
  CHECK(After(milliseconds(9600)) == RolloutStep::kObserve);
  CHECK(After(milliseconds(10600)) == RolloutStep::kRolledBack);
  inputs.judgement.new_responses = 90;
  inputs.has_reports = false;
  CHECK(After(milliseconds(9600)) == RolloutStep::kObserve);
  CHECK(After(milliseconds(10600)) == RolloutStep::kRolledBack);
  inputs.has_reports = true;
  inputs.has_new_servers = false;
  CHECK(After(milliseconds(10600)) == RolloutStep::kRolledBack);
}

// Guards against a good version that is rolled back where there is little
// traffic.
TEST_CASE_FIXTURE(RolloutPlanFixture, "RolloutPlan, little traffic, switches") {
  inputs.judgement = {.old_responses = 40, .new_responses = 1};
  CHECK(After(milliseconds(8200)) == RolloutStep::kSwitch);
  inputs.judgement = {};
  CHECK(After(milliseconds(8200)) == RolloutStep::kSwitch);
}

// Guards against old servers that stop while requests run on them.
TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "RolloutPlan, switched, waits for the old version") {
  BeginSwitch(milliseconds(8200));
  CHECK(After(milliseconds(10000)) == RolloutStep::kSwitch);
  inputs.is_old_idle = true;
  CHECK(After(milliseconds(9000)) == RolloutStep::kSwitch);
  CHECK(After(milliseconds(10000)) == RolloutStep::kComplete);
  inputs.is_old_idle = false;
  CHECK(After(milliseconds(11100)) == RolloutStep::kComplete);
  inputs.judgement.verdict = RolloutVerdict::kBad;
  CHECK(After(milliseconds(9000)) == RolloutStep::kRolledBack);
  inputs.judgement.verdict = RolloutVerdict::kClear;
  inputs.spec = SpecState::kDeleted;
  CHECK(After(milliseconds(11100)) == RolloutStep::kComplete);
  inputs.spec = SpecState::kReplaced;
  CHECK(After(milliseconds(9000)) == RolloutStep::kRolledBack);
}

// Guards against a rollout that goes on after its end.
TEST_CASE_FIXTURE(RolloutPlanFixture, "RolloutPlan, over, stays") {
  for (const RolloutStep step :
       {RolloutStep::kComplete, RolloutStep::kRolledBack}) {
    row.step = step;
    inputs.judgement.verdict = RolloutVerdict::kBad;
    inputs.spec = SpecState::kDeleted;
    CHECK(After(milliseconds(9000)) == step);
  }
}

// Guards against requests to versions that may not be used.
TEST_CASE_FIXTURE(RolloutPlanFixture,
                  "VersionRules, each step, allow only what they should") {
  ServiceVersions versions{.spec = RolloutSpec{.to = "v2", .row_version = 5},
                           .row = row,
                           .canary_servers = {"b"},
                           .share = VersionShare(0.1, 1)};
  const auto use = [&](RolloutRole role, const char* version, const char* id,
                       bool is_confirmed) {
    return UseOf(versions, role, version, id, is_confirmed);
  };
  constexpr RolloutRole kFrontend = RolloutRole::kFrontend;
  constexpr RolloutRole kWorker = RolloutRole::kWorker;
  CHECK(use(kFrontend, "v1", "a", true) == VersionUse::kNormal);
  CHECK(use(kFrontend, "v2", "b", true) == VersionUse::kPreferred);
  CHECK(use(kFrontend, "v2", "c", true) == VersionUse::kRefused);
  CHECK(use(kFrontend, "v2", "b", false) == VersionUse::kRefused);
  CHECK(use(kFrontend, "v3", "b", true) == VersionUse::kRefused);
  CHECK(use(kWorker, "v2", "b", true) == VersionUse::kRefused);
  versions.spec.reset();
  CHECK(use(kFrontend, "v2", "b", true) == VersionUse::kRefused);
  versions.row->step = RolloutStep::kSwitch;
  CHECK(use(kFrontend, "v2", "c", true) == VersionUse::kNormal);
  CHECK(use(kFrontend, "v1", "a", true) == VersionUse::kReserve);
  CHECK(use(kFrontend, "v1", "a", false) == VersionUse::kNormal);
  CHECK(use(kFrontend, "v2", "c", false) == VersionUse::kReserve);
  CHECK(use(kWorker, "v1", "a", true) == VersionUse::kRefused);
  CHECK(use(kWorker, "v2", "c", true) == VersionUse::kNormal);
  versions.row->step = RolloutStep::kRolledBack;
  CHECK(use(kFrontend, "v1", "a", false) == VersionUse::kNormal);
  CHECK(use(kFrontend, "v2", "c", true) == VersionUse::kRefused);
  versions.row->step = RolloutStep::kComplete;
  CHECK(use(kFrontend, "v1", "a", true) == VersionUse::kRefused);
  CHECK(use(kWorker, "v2", "c", false) == VersionUse::kNormal);
  CHECK(UseOf({}, kFrontend, "v1", "a", true) == VersionUse::kRefused);
}

}  // namespace
}  // namespace carawayrelay
