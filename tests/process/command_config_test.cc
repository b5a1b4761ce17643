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

// Guards against an issued key that does not authenticate, and against a secret
// that is stored in the configuration.
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

// Guards against an exit code from which a script cannot tell its own invalid
// input (2) from an unreachable entry (4).
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "commands, invalid input or no entry, exit with 2 or 4") {
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

// Guards against concurrent changes of several operators that overwrite each
// other, or of which one fails because of a conflict.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "zone out, concurrent changes, all take effect") {
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

// Guards against a document that silently undoes a change made after the
// version that the document was derived from.
TEST_CASE_FIXTURE(
    CommandConfigFixture,
    "apply, outdated base version, exits with 3 and changes nothing") {
  CHECK(Run(ZoneOutCommand{"a"}) == 0);
  CHECK(Run(ApplyCommand{.file = file, .based_on = kNoConfig}) == 3);
  CHECK(Current().document.zones_out.size() == 1);
  CHECK(Run(ApplyCommand{.file = file, .based_on = ConfigVersion{1}}) == 0);
  CHECK(Run(ApplyCommand{.file = file}) == 0);
  CHECK(Current().version == ConfigVersion{2});
}

// Guards against a command that fails because its first entry is unreachable,
// and against exit code 4 ("nothing was changed") for a write whose outcome is
// unknown.
TEST_CASE_FIXTURE(
    CommandConfigFixture,
    "zone out, entry or store unavailable, exit code reflects effect") {
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

TEST_CASE_FIXTURE(CommandConfigFixture,
                  "status, available entry, prints its node and zone") {
  CHECK(Run(StatusCommand{}) == 0);
  CHECK(out.str().find("node n1, zone z1") != std::string::npos);
}

// Guards against a file that is checked as another kind, and against findings
// that are reported without their JSON path.
TEST_CASE_FIXTURE(CommandConfigFixture,
                  "check, files of several kinds, detects kind and findings") {
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
