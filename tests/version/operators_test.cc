#include "carawayrelay/operators.h"

#include <doctest/doctest.h>

#include "carawayrelay/version.h"

namespace carawayrelay {
namespace {

struct OperatorsFixture {
  operators::ConfigBuilder builder;
  Findings findings;
};

// Guards against operators' library output with fields that the entry does not
// accept.
TEST_CASE_FIXTURE(OperatorsFixture,
                  "ConfigBuilder, complete document, is accepted unchanged") {
  builder.Add(operators::Workspace{
      .name = "w", .rate_per_second = 2.5, .burst = 5, .weight = 2});
  builder.Add(operators::HashKey("k", "w", "secret"));
  builder.Add(operators::Route{.name = "r",
                               .kind = operators::RouteKind::kService,
                               .repeatable = false,
                               .workspaces = {"w"}});
  builder.TakeZoneOut("z1");
  const auto document = ParseConfigDocument(builder.ToJson(), findings);
  REQUIRE(document);
  CHECK(ToJson(*document) == builder.ToJson());
  const auto config = ConfigSnapshot::Make(ConfigVersion{1}, builder.ToJson());
  REQUIRE(config);
  CHECK(config.value()->Authenticate("cr_k_secret") != nullptr);
  CHECK(config.value()->Authenticate("cr_k_other") == nullptr);
}

// Guards against a route that refers to a workspace that does not exist.
TEST_CASE_FIXTURE(OperatorsFixture,
                  "ConfigBuilder, unknown workspace, has a finding") {
  builder.Add(operators::Route{.name = "r", .workspaces = {"nobody"}});
  CHECK_FALSE(ParseConfigDocument(builder.ToJson(), findings));
  REQUIRE(findings.items().size() == 1);
  CHECK(findings.items()[0].path == "/routes/0/workspaces/0");
}

}  // namespace
}  // namespace carawayrelay
