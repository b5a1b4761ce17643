#include "process/serving/serving_settings.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayrelay {
namespace {

struct ServingSettingsFixture {
  Findings findings;

  bool Reports(const std::string& path) const {
    for (const Finding& finding : findings.items()) {
      if (finding.path == path) {
        return true;
      }
    }
    return false;
  }
};

// Guards against findings for a valid settings file.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "FrontendSettings, complete file, is accepted") {
  const auto settings = ParseFrontendSettings(
      R"({"node":"n","zone":"z","listen_clients":"10.0.0.1:80",
          "listen_ready":"10.0.0.1:81","listen_peers":"10.0.0.1:83",
          "cpu_cores":0.5,"store_address":"10.0.0.2:82",
          "key_revocation_ms":5000,"stop_grace_ms":8000})",
      findings);
  REQUIRE_MESSAGE(settings, findings.ToText());
  CHECK(settings->stop_grace == std::chrono::seconds(8));
}

// Guards against outlier ejection and slow start in deployments that did not
// ask for them, and against names of other features that stop a frontend.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "FrontendSettings, features, health is shared if named") {
  const auto shares_health = [&](const std::string& features) {
    const auto settings = ParseFrontendSettings(
        R"({"node":"n","zone":"z","listen_clients":"10.0.0.1:80",
            "listen_ready":"10.0.0.1:81","listen_peers":"10.0.0.1:83",)" +
            features + R"("store_address":"10.0.0.2:82"})",
        findings);
    REQUIRE_MESSAGE(settings, findings.ToText());
    return settings->shares_health;
  };
  CHECK_FALSE(shares_health(""));
  CHECK_FALSE(shares_health(R"("features":["base","drain"],)"));
  CHECK(shares_health(R"("features":["base","health","pool"],)"));
}

// Guards against rollouts without all figures that bound a bad version, and
// against settings that are read in the wrong unit.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "FrontendSettings, rollout figures, count only together") {
  const auto parse = [&](const std::string& more) {
    const auto settings = ParseFrontendSettings(
        R"({"node":"n","zone":"z","listen_clients":"10.0.0.1:80",
            "listen_ready":"10.0.0.1:81","listen_peers":"10.0.0.1:83",)" +
            more + R"("store_address":"10.0.0.2:82"})",
        findings);
    REQUIRE_MESSAGE(settings, findings.ToText());
    return settings->rollout;
  };
  CHECK_FALSE(parse(""));
  CHECK_FALSE(parse(R"("rollout_share":0.1,"rollout_slack":50,)"));
  const auto rollout = parse(
      R"("rollout_share":0.1,"rollout_slack":50,"rollout_deadline_ms":5000,)");
  REQUIRE(rollout);
  CHECK(rollout->UsedShare() == doctest::Approx(0.08));
  CHECK(rollout->slack == 50);
  CHECK(rollout->MaxStepAge() == std::chrono::seconds(2));
  CHECK(rollout->ReportInterval() == std::chrono::seconds(1));
}

// Guards against settings files of which only the first error is reported.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "FrontendSettings, several errors, all are reported") {
  CHECK_FALSE(ParseFrontendSettings(
      R"({"zone":1,"listen_clients":"host:80","stop_grace_ms":"x","odd":1})",
      findings));
  for (const char* path :
       {"/node", "/zone", "/listen_clients", "/listen_ready", "/listen_peers",
        "/store_address", "/stop_grace_ms", "/odd"}) {
    CHECK_MESSAGE(Reports(path), path);
  }
}

// Guards against limits that lock out every client or exceed the VM.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "FrontendSettings, memory limits invalid, each is reported") {
  CHECK_FALSE(ParseFrontendSettings(
      R"({"node":"n","zone":"z","listen_clients":"10.0.0.1:80",
          "listen_ready":"10.0.0.1:81","listen_peers":"10.0.0.1:83",
          "store_address":"10.0.0.2:82","memory_mb":88,
          "request_memory_mb":100,"max_connections":0})",
      findings));
  CHECK(Reports("/request_memory_mb"));
  CHECK(Reports("/max_connections"));
  CHECK(findings.items().size() == 2);
}

// Guards against a negative number of reserved slots being accepted.
TEST_CASE_FIXTURE(ServingSettingsFixture,
                  "WorkerSettings, reserved slots out of range, one finding") {
  CHECK_FALSE(ParseWorkerSettings(
      R"({"node":"n","zone":"z","runner_address":"10.0.0.1:80",
          "store_address":"10.0.0.2:82","reserved_slots":-1})",
      findings));
  CHECK(Reports("/reserved_slots"));
  CHECK(findings.items().size() == 1);
}

}  // namespace
}  // namespace carawayrelay
