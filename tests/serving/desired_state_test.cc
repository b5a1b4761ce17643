#include "platform/desired_state.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace carawayrelay {
namespace {

struct DesiredStateFixture {
  std::string text = R"({
    "version": 7,
    "routes": [
      {"name": "a", "host": "h.example", "prefix": "/x/", "routeType": "streaming",
       "timeoutMs": 5000, "latencyGoalMs": 300, "maxAttempts": 2, "canResume": true,
       "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
      {"name": "b", "host": "h.example", "prefix": "/x/deep/", "routeType": "bulk",
       "service": "s1", "runAimMs": 18000, "keepS": 60.5, "maxPending": 980000},
      {"name": "c", "host": "other.example", "prefix": "/", "service": "s1", "anonymous": true}],
    "services": [{"name": "s1", "maxConns": 170, "coldPerS": 28.0}],
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "ratePerS": 55, "burst": 50}]})";

  ServingConfigPtr Decode() {
    auto config = platform::DecodeDesiredState(text);
    REQUIRE_MESSAGE(config, config.error().message);
    return std::move(config).value();
  }
};

// Guards against limits of the program that apply in place of those that the
// configuration allows to clients.
TEST_CASE_FIXTURE(DesiredStateFixture,
                  "ServingConfig, limits of clients, are read") {
  const ClientLimits defaults = Decode()->limits();
  CHECK(defaults.head_timeout == std::chrono::seconds(3));
  CHECK(defaults.idle_timeout == std::chrono::seconds(30));
  text.insert(1, R"("limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 2000,
                     "headerTimeoutMs": 4000, "idleTimeoutMs": 50000},)");
  const ClientLimits limits = Decode()->limits();
  CHECK(limits.header_bytes == 1000);
  CHECK(limits.body_bytes == 2000);
  CHECK(limits.head_timeout == std::chrono::seconds(4));
  CHECK(limits.idle_timeout == std::chrono::seconds(50));
}

// Guards against a time limit of 0 that would close every connection.
TEST_CASE_FIXTURE(DesiredStateFixture,
                  "ServingConfig, time limit of 0, is the default") {
  text.insert(1, R"("limits": {"headerTimeoutMs": 0, "idleTimeoutMs": 0},)");
  CHECK(Decode()->limits().head_timeout == std::chrono::seconds(3));
  CHECK(Decode()->limits().idle_timeout == std::chrono::seconds(30));
}

// Guards against a request that is matched to a route with a shorter prefix
// than the longest one that fits, or with a prefix that ends inside a path
// segment.
TEST_CASE_FIXTURE(DesiredStateFixture,
                  "ServingConfig, nested prefixes, matches the longest") {
  const ServingConfigPtr config = Decode();
  REQUIRE(config->FindRoute("h.example", "/x/deep/1") != nullptr);
  CHECK(config->FindRoute("h.example", "/x/deep/1")->name == "b");
  CHECK(config->FindRoute("h.example", "/x/deeper")->name == "a");
  CHECK(config->FindRoute("h.example", "/y/") == nullptr);
  CHECK(config->FindRoute("none.example", "/x/1") == nullptr);
}

// Guards against times that are decoded in the wrong unit and route types that
// are mapped to the wrong call class.
TEST_CASE_FIXTURE(
    DesiredStateFixture,
    "DecodeDesiredState, complete document, decodes units and types") {
  const ServingConfigPtr config = Decode();
  const ServingRoute& stream = *config->FindRouteByName("a");
  CHECK(stream.call_class == CallClass::kStream);
  CHECK(stream.IsRepeatable());
  CHECK(stream.time_limit == std::chrono::seconds(5));
  CHECK(stream.services.size() == 2);
  const ServingRoute& bulk = *config->FindBulkRoute("h.example");
  CHECK(bulk.bulk.item_expiry == std::chrono::milliseconds(60500));
  CHECK(bulk.bulk.max_pending_tokens == 980000);
  CHECK(config->FindRouteByName("c")->call_class == CallClass::kAtMostOnce);
  CHECK(config->FindWorkspaceByKey("k2")->name == "t");
  CHECK(config->FindWorkspaceByKey("k3") == nullptr);
}

// Guards against a stream that is repeated although its route does not allow
// resumption.
TEST_CASE_FIXTURE(
    DesiredStateFixture,
    "ServingRoute, stream without resumption, is not repeatable") {
  const size_t at = text.find(R"(, "canResume": true)");
  text.erase(at, std::string(R"(, "canResume": true)").size());
  CHECK_FALSE(Decode()->FindRouteByName("a")->IsRepeatable());
}

// Guards against a decoder that stops at the first error.
TEST_CASE_FIXTURE(DesiredStateFixture,
                  "DecodeDesiredState, several errors, reports all") {
  const auto config = platform::DecodeDesiredState(
      R"({"version": "x", "routes": [{"name": "a"}], "tenants": [{}]})");
  REQUIRE_FALSE(config);
  CHECK(config.error().message.find("/version") != std::string::npos);
  CHECK(config.error().message.find("/routes/0/host") != std::string::npos);
  CHECK(config.error().message.find("/tenants/0/name") != std::string::npos);
}

// Guards against requests to an address that another program has written to the
// table of backend servers.
TEST_CASE_FIXTURE(DesiredStateFixture,
                  "DecodeBackendRegistration, foreign rows, are rejected") {
  for (
      const char* foreign :
      {"", "\xff\xfe", "[]", "{}",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","capacity":8})",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","capacity":8,"state":"odd"})",
       R"({"service":7,"address":"1.1.1.1:1","zone":"z","capacity":8,"state":"ready"})",
       R"({"service":"s","address":"1.1.1.1:1","zone":"z","capacity":"8","state":"ready"})"}) {
    CHECK_FALSE(platform::DecodeBackendRegistration("i-1", foreign));
  }
  const auto registration = platform::DecodeBackendRegistration(
      "i-1",
      R"({"service":"s","address":"1.1.1.1:1","zone":"z","capacity":8,"state":"draining","coldLeftMs":1500,"more":1})");
  REQUIRE(registration);
  CHECK(registration.value().is_draining);
  CHECK(registration.value().software_version.empty());
  CHECK(registration.value().remaining_cold_time ==
        std::chrono::milliseconds(1500));
}

}  // namespace
}  // namespace carawayrelay
