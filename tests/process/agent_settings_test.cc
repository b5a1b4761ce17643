#include <doctest/doctest.h>

#include <algorithm>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

struct AgentSettingsFixture {
  Findings findings;

  bool HasFindingAt(const std::string& path) const {
    return std::any_of(findings.items().begin(), findings.items().end(),
                       [&](const Finding& f) { return f.path == path; });
  }
};

// Guards against reporting only the first mistake, which makes operators fix
// the file one error at a time.
TEST_CASE_FIXTURE(
    AgentSettingsFixture,
    "AgentSettings, several mistakes, reports all with their paths") {
  CHECK_FALSE(ParseAgentSettings(
      R"({"zone": "z", "listen": "host:1", "drain": 5,
          "backend": {"kind": "x", "url": "https://127.0.0.1:1",
                      "routes": ["m", "m"]},
          "window": {"max": 2, "cold": 3.5}})",
      findings));
  for (const char* path :
       {"/node", "/listen", "/drain", "/backend/kind", "/backend/url",
        "/backend/routes/1", "/window/cold"}) {
    CHECK_MESSAGE(HasFindingAt(path), path);
  }
}

TEST_CASE_FIXTURE(AgentSettingsFixture,
                  "AgentSettings, only required fields, uses defaults") {
  const auto settings = ParseAgentSettings(
      R"({"node": "a", "zone": "z", "listen": "127.0.0.1:1",
          "backend": {"url": "http://127.0.0.1:2", "routes": ["m"]}})",
      findings);
  REQUIRE(settings);
  CHECK(settings->window.cold >= 1);
  CHECK(settings->window.cold <= settings->window.max);
  CHECK(settings->drain_limit > std::chrono::milliseconds(0));
}

}  // namespace
}  // namespace carawayrelay
