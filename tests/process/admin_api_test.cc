#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>

#include "carawayrelay/process.h"
#include "process/admin_fixture.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

struct AdminApiFixture : AdminFixture {
  std::unique_ptr<HttpClient> http =
      HttpClient::Make({.base_url = server.second,
                        .request_timeout = std::chrono::milliseconds(10000)})
          .value();

  std::pair<int, json> Call(const std::string& method,
                            const std::string& target,
                            const json& body = {}) {
    const auto reply =
        http->Send({.method = method, .target = target, .body = body.dump()});
    REQUIRE(reply);
    return {reply.value().status, json::parse(reply.value().body)};
  }

  static json Write(std::uint64_t based_on) {
    return {{"based_on", based_on}, {"document", {{"zones_out", {"a"}}}}};
  }
};

TEST_CASE_FIXTURE(AdminApiFixture,
                  "AdminApi, published configuration, is returned") {
  CHECK(Call("GET", "/admin/config").second["version"] == 0);
  const auto [status, published] = Call("POST", "/admin/config", Write(0));
  CHECK(status == 200);
  CHECK(published["version"] == 1);
  const auto [read_status, config] = Call("GET", "/admin/config");
  CHECK(read_status == 200);
  CHECK(config["version"] == 1);
  CHECK(config["hash"] == published["hash"]);
  CHECK(config["document"]["zones_out"] == json{"a"});
}

TEST_CASE_FIXTURE(AdminApiFixture,
                  "AdminApi, write based on an old version, gets 409 with the "
                  "current version") {
  Call("POST", "/admin/config", Write(0));
  const auto [status, reply] = Call("POST", "/admin/config", Write(0));
  CHECK(status == 409);
  CHECK(reply["current_version"] == 1);
  CHECK(reply["error"]["code"] == "conflict");
  CHECK(reply["error"]["run_state"] == "not_run");
}

// Guards against reporting only the first mistake, which makes operators fix
// the document one error at a time.
TEST_CASE_FIXTURE(AdminApiFixture,
                  "AdminApi, several mistakes, gets 400 with all findings") {
  const json body = {{"based_on", -1},
                     {"document", {{"zones", 1}, {"routes", {{{"open", 1}}}}}},
                     {"extra", true}};
  const auto [status, reply] = Call("POST", "/admin/config", body);
  CHECK(status == 400);
  std::set<std::string> paths;
  for (const json& finding : reply["findings"]) {
    paths.insert(finding["path"]);
  }
  CHECK(paths == std::set<std::string>{"/based_on", "/document/zones",
                                       "/document/routes/0/name",
                                       "/document/routes/0/open", "/extra"});
}

// Guards against reporting a write as not made when its outcome is unknown.
TEST_CASE_FIXTURE(
    AdminApiFixture,
    "AdminApi, store down, reports not_run only if nothing was written") {
  platform.on_write = [] { return FakeStore::Fault::kRefuse; };
  const auto [status, refused] = Call("POST", "/admin/config", Write(0));
  CHECK(status == 503);
  CHECK(refused["error"]["run_state"] == "not_run");
  int writes = 0;
  platform.on_write = [&] {
    platform.reads_fail = ++writes > 1;
    return writes > 1 ? FakeStore::Fault::kLoseResponse
                      : FakeStore::Fault::kNone;
  };
  const auto lost = Call("POST", "/admin/config", Write(0)).second;
  CHECK(lost["error"]["run_state"] == "unknown");
  platform.reads_fail = false;
  CHECK(Call("GET", "/admin/config").second["version"] == 1);
}

TEST_CASE_FIXTURE(AdminApiFixture,
                  "AdminApi, status request, returns node and entry status") {
  const auto [status, reply] = Call("GET", "/admin/status");
  CHECK(status == 200);
  CHECK(reply["node"] == "n1");
  CHECK(reply["entry"]["requests"] == 3);
  CHECK(reply["platform_age_ms"].is_number());
  CHECK(Call("GET", "/admin/nothing").first == 404);
}

}  // namespace
}  // namespace carawayrelay
