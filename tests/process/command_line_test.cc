#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

struct CommandLineFixture {
  static Result<Command> Parse(const std::vector<std::string>& words,
                               const CommandOptions& options = {}) {
    return ParseCommand({.words = words, .options = options});
  }

  static bool IsRefused(const std::vector<std::string>& words,
                        const CommandOptions& options = {}) {
    const auto command = Parse(words, options);
    return !command && command.error().code == ErrorCode::kInvalid;
  }
};

// Guards against a command that runs although an argument is missing or ignores
// an extra one.
TEST_CASE_FIXTURE(CommandLineFixture,
                  "ParseCommand, missing or extra words, are refused") {
  CHECK(IsRefused({}));
  CHECK(IsRefused({"nonsense"}));
  CHECK(IsRefused({"entry"}));
  CHECK(IsRefused({"entry", "x"}, {.settings = "f"}));
  CHECK(IsRefused({"check"}));
  CHECK(IsRefused({"apply", "a", "b"}));
  CHECK(IsRefused({"key", "issue"}));
  CHECK(IsRefused({"key", "issue", "a", "b"}));
  CHECK(IsRefused({"key", "lose", "a"}));
  CHECK(IsRefused({"zone", "out"}));
  CHECK(IsRefused({"status", "x"}));
  CHECK(IsRefused({"job", "submit", "f"}));
}

// Guards against a bad value that is silently replaced by a default.
TEST_CASE_FIXTURE(CommandLineFixture,
                  "ParseCommand, bad option values, are refused") {
  CHECK(IsRefused({"check", "f"}, {.kind = "model"}));
  CHECK(IsRefused({"route", "set", "r"}, {.kind = "entry"}));
  CHECK(IsRefused({"apply", "f"}, {.based_on = "-1"}));
  CHECK(IsRefused({"apply", "f"}, {.based_on = "1x"}));
}

// Guards against a route that is published without its options, for example
// open to repeats.
TEST_CASE_FIXTURE(CommandLineFixture,
                  "ParseCommand, route with options, keeps them") {
  const auto command =
      Parse({"route", "set", "r"},
            {.kind = "service", .workspaces = "a,b", .repeatable = false});
  REQUIRE(command);
  const auto& route = std::get<RouteSetCommand>(command.value()).route;
  CHECK(route.name == "r");
  CHECK(route.kind == RouteKind::kService);
  CHECK_FALSE(route.repeatable);
  CHECK(route.workspaces == std::vector<std::string>{"a", "b"});
}

// Guards against gflags ending the process itself, with exit code 1 instead of
// the documented 2.
TEST_CASE_FIXTURE(CommandLineFixture,
                  "SplitCommandLine, unknown option or bad value, fails") {
  CHECK_FALSE(SplitCommandLine({"status", "--admim=x"}));
  CHECK_FALSE(SplitCommandLine({"status", "--admin"}));
  CHECK_FALSE(SplitCommandLine({"route", "set", "r", "--open=maybe"}));
}

// Guards against lost admin addresses: gflags uses only the last value of a
// repeated option.
TEST_CASE_FIXTURE(CommandLineFixture,
                  "SplitCommandLine, repeated admin option, keeps all values") {
  const auto line =
      SplitCommandLine({"zone", "--admin", "http://127.0.0.1:1", "out", "z",
                        "--admin=http://127.0.0.1:2", "--norepeatable"});
  REQUIRE(line);
  CHECK(line.value().words == std::vector<std::string>{"zone", "out", "z"});
  CHECK_FALSE(line.value().options.repeatable);
  std::ostringstream out;
  const auto environment = [](const std::string& name) {
    return name == "CARAWAYRELAY_KEY" ? std::string("cr_k_s") : std::string();
  };
  const CommandContext context =
      MakeContext(line.value().options, environment, out, out);
  CHECK(context.admin_urls ==
        std::vector<std::string>{"http://127.0.0.1:1", "http://127.0.0.1:2"});
  CHECK(context.api_key == "cr_k_s");
}

}  // namespace
}  // namespace carawayrelay
