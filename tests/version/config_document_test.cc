#include "carawayrelay/version.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace carawayrelay {
namespace {

struct ConfigDocumentFixture {
  Findings findings;

  bool HasFindingAt(const std::string& path) const {
    return std::any_of(findings.items().begin(), findings.items().end(),
                       [&](const Finding& f) { return f.path == path; });
  }
};

// Guards against validation that stops at the first mistake, so that operators
// have to fix one mistake per attempt.
TEST_CASE_FIXTURE(
    ConfigDocumentFixture,
    "ConfigDocument, invalid fields, reports each with its path") {
  const char* text = R"({
    "workspaces": [{"name": "w", "rate_per_second": -1, "burst": 5},
                   {"name": "w", "rate_per_second": 1, "burst": 5}],
    "keys": [{"id": "k", "workspace": "nobody", "salt": "s", "hash": "zz"}],
    "routes": [{"kind": "model"}],
    "zone_out": []})";
  CHECK_FALSE(ParseConfigDocument(text, findings));
  CHECK(HasFindingAt("/workspaces/0/rate_per_second"));
  CHECK(HasFindingAt("/workspaces/1/name"));
  CHECK(HasFindingAt("/keys/0/workspace"));
  CHECK(HasFindingAt("/keys/0/hash"));
  CHECK(HasFindingAt("/routes/0/name"));
  CHECK(HasFindingAt("/zone_out"));
}

// Guards against a field that is lost or altered between ToJson() and
// ParseConfigDocument().
TEST_CASE_FIXTURE(ConfigDocumentFixture,
                  "ConfigDocument, serialized and parsed, is unchanged") {
  ConfigDocument document;
  document.workspaces.push_back(
      {.name = "w", .rate_per_second = 2, .burst = 3});
  document.routes.push_back({.name = "m", .repeatable = false});
  document.zones_out = {"z1"};
  const std::string text = ToJson(document);
  const auto parsed = ParseConfigDocument(text, findings);
  REQUIRE(parsed);
  CHECK(ToJson(*parsed) == text);
}

// Guards against a key that is accepted with the secret of another key.
TEST_CASE_FIXTURE(ConfigDocumentFixture,
                  "ConfigSnapshot, bearer token, matches only its secret") {
  ConfigDocument document;
  document.workspaces.push_back(
      {.name = "w", .rate_per_second = 2, .burst = 3});
  document.keys.push_back({.id = "a_b",
                           .workspace = "w",
                           .salt = "s",
                           .hash = Sha256Hex("ssecret")});
  const auto snapshot =
      ConfigSnapshot::Make(ConfigVersion{1}, ToJson(document));
  REQUIRE(snapshot);
  CHECK(snapshot.value()->Authenticate("cr_a_b_secret") != nullptr);
  CHECK(snapshot.value()->Authenticate("cr_a_b_other") == nullptr);
  CHECK(snapshot.value()->Authenticate("cr_a_secret") == nullptr);
  CHECK(snapshot.value()->Authenticate("secret") == nullptr);
}

}  // namespace
}  // namespace carawayrelay
