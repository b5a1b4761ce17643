#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "carawayrelay/process.h"
#include "process/admin_fixture.h"

namespace carawayrelay {
namespace {

using Fault = FakeStore::Fault;

struct CommandConfigFixture : AdminFixture {
  std::ostringstream out;
  std::ostringstream err;
  CommandContext context{.admin_urls = {server.second}, .out = out, .err = err};
  const std::string file =
      "/tmp/relay_command_test." + std::to_string(::getpid()) + ".json";

  CommandConfigFixture() {
    std::ofstream(file) << R"({"workspaces": [
        {"name": "w", "rate_per_second": 1, "burst": 1}]})";
  }
  ~CommandConfigFixture() { std::remove(file.c_str()); }

  int Run(const Command& command) { return RunCommand(command, context); }

  AdminConfig Current() {
    return AdminClient::Make(context.admin_urls).value()->Read().value();
  }
};

// Guards against a key that does not work, or whose secret is stored.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "key issue, printed token, matches the stored hash") {
  CHECK(Run(ApplyCommand{.file = file}) == 0);
  CHECK(Run(KeyIssueCommand{"w"}) == 0);
  const std::string text = out.str();
  const size_t begin = text.find("cr_");
  REQUIRE(begin != std::string::npos);
  const std::string token = text.substr(begin, text.find('\n', begin) - begin);
  const AdminConfig config = Current();
  const std::string json = ToJson(config.document);
  const auto snapshot = ConfigSnapshot::Make(config.version, json).value();
  const KeyConfig* key = snapshot->Authenticate(token);
  REQUIRE(key != nullptr);
  CHECK(key->workspace == "w");
  CHECK(json.find(token.substr(token.rfind('_') + 1)) == std::string::npos);
  CHECK(Run(KeyWithdrawCommand{key->id}) == 0);
  CHECK(Current().document.keys.empty());
}

TEST_CASE_FIXTURE(CommandConfigFixture,
                  "commands, input that does not fit, exit with 2") {
  CHECK(Run(ApplyCommand{.file = "/nowhere"}) == 2);
  CHECK(Run(KeyIssueCommand{"nobody"}) == 2);
  CHECK(Run(KeyWithdrawCommand{"none"}) == 2);
  CHECK(Run(RouteRemoveCommand{"none"}) == 2);
  CHECK(Run(RouteSetCommand{{.name = "r", .workspaces = {"nobody"}}}) == 2);
  context.admin_urls = {};
  CHECK(Run(ZoneOutCommand{"z"}) == 2);
  context.admin_urls = {"http://127.0.0.1:1"};
  CHECK(Run(ZoneOutCommand{"z"}) == 4);
  CHECK(Run(StatusCommand{}) == 4);
}

// Guards against one operator's change undoing another's at the same moment.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "zone out, several at once, all take effect") {
  std::vector<std::thread> operators;
  for (const char* zone : {"a", "b", "c"}) {
    operators.emplace_back([this, zone] {
      std::ostringstream text;
      CHECK(RunCommand(ZoneOutCommand{zone}, {.admin_urls = {server.second},
                                              .out = text,
                                              .err = text}) == 0);
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  CHECK(Current().document.zones_out.size() == 3);
  CHECK(Current().version == ConfigVersion{3});
  CHECK(Run(ZoneOutCommand{"a"}) == 0);
  CHECK(Run(ZoneInCommand{"a"}) == 0);
  CHECK(Current().version == ConfigVersion{4});
}

// Guards against a whole document silently removing another change.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "apply, outdated base, exits with 3 and changes nothing") {
  CHECK(Run(ZoneOutCommand{"a"}) == 0);
  CHECK(Run(ApplyCommand{.file = file, .based_on = kNoConfig}) == 3);
  CHECK(Current().document.zones_out.size() == 1);
  CHECK(Run(ApplyCommand{.file = file, .based_on = ConfigVersion{1}}) == 0);
  CHECK(Run(ApplyCommand{.file = file}) == 0);
  CHECK(Current().version == ConfigVersion{2});
}

// Guards against a first entry that is gone, and against "refused" for a write
// whose outcome nobody knows.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "zone out, entry or store away, tells what is in effect") {
  context.admin_urls = {"http://127.0.0.1:1", server.second};
  CHECK(Run(ZoneOutCommand{"a"}) == 0);
  platform.on_write = [] { return Fault::kRefuse; };
  CHECK(Run(ZoneOutCommand{"b"}) == 4);
  int writes = 0;
  platform.on_write = [&] {
    platform.reads_fail = ++writes > 1;
    return writes > 1 ? Fault::kLoseResponse : Fault::kNone;
  };
  CHECK(Run(ZoneOutCommand{"b"}) == 5);
}

TEST_CASE_FIXTURE(CommandConfigFixture, "status, entry, is shown") {
  CHECK(Run(StatusCommand{}) == 0);
  CHECK(out.str().find("node n1, zone z1") != std::string::npos);
}

TEST_CASE_FIXTURE(CommandConfigFixture,
                  "check, files of each kind, are recognised") {
  CHECK(DetectFileKind(R"({"node": "n", "listen_admin": "x"})") ==
        FileKind::kEntry);
  CHECK(DetectFileKind(R"({"node": "n", "backend": {}})") == FileKind::kAgent);
  CHECK(DetectFileKind(R"({"zones_out": []})") == FileKind::kConfig);
  CHECK_FALSE(DetectFileKind(R"({"node": "n"})"));
  CHECK(Run(CheckCommand{.file = file}) == 0);
  std::ofstream(file) << R"({"workspaces": [{}], "key": 1})";
  CHECK(Run(CheckCommand{.file = file}) == 2);
  CHECK(err.str().find(file + ": /workspaces/0/name: is required") !=
        std::string::npos);
  CHECK(err.str().find(file + ": /key: unknown field") != std::string::npos);
}

}  // namespace
}  // namespace carawayrelay
