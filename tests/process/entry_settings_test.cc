#include <doctest/doctest.h>

#include <algorithm>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

struct EntrySettingsFixture {
  Findings findings;

  bool HasFindingAt(const std::string& path) const {
    return std::any_of(findings.items().begin(), findings.items().end(),
                       [&](const Finding& f) { return f.path == path; });
  }
};

// Guards against reporting only the first mistake, which makes operators fix
// the file one error at a time.
TEST_CASE_FIXTURE(
    EntrySettingsFixture,
    "EntrySettings, several mistakes, reports all with their paths") {
  CHECK_FALSE(ParseEntrySettings(R"({
    "node": "e1", "listen_callers": "localhost:80",
    "listen_admin": "127.0.0.1:1", "listen_links": "127.0.0.1:2",
    "platform_url": "127.0.0.1:9", "seed_agents": ["127.0.0.1:3", "x"],
    "limits": {"queue_capacity": 0, "que": 1},
    "policies": {"choice": "best"}})",
                                 findings));
  for (const char* path :
       {"/zone", "/listen_callers", "/platform_url", "/seed_agents/1",
        "/limits/queue_capacity", "/limits/que", "/policies/choice"}) {
    CHECK_MESSAGE(HasFindingAt(path), path);
  }
  CHECK(findings.items().size() == 7);
}

TEST_CASE_FIXTURE(EntrySettingsFixture,
                  "EntrySettings, valid file, returns its values") {
  const auto settings = ParseEntrySettings(R"({
    "node": "e1", "zone": "z", "listen_callers": "127.0.0.1:1",
    "listen_admin": "127.0.0.1:2", "listen_links": "127.0.0.1:3",
    "platform_url": "http://127.0.0.1:9",
    "limits": {"request_time_limit_ms": 1500},
    "policies": {"choice": "prefix_affinity", "fairness": "fifo"}})",
                                           findings);
  REQUIRE(settings);
  CHECK(settings->dispatcher.zone == "z");
  CHECK(settings->dispatcher.time_limit == std::chrono::milliseconds(1500));
  CHECK(std::holds_alternative<PrefixAffinity>(settings->dispatcher.choice));
  CHECK(std::holds_alternative<FifoOrder>(settings->dispatcher.fairness));
}

}  // namespace
}  // namespace carawayrelay
