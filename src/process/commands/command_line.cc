#include "process/commands/command_line.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <charconv>
#include <string_view>

DEFINE_string(settings,
              "",
              "settings file of an entry, agent, frontend or worker");
DEFINE_string(kind, "", "kind of a file or route");
DEFINE_string(name, "", "name of a batch job");
DEFINE_string(model, "", "model of batch items that specify none");
DEFINE_string(based_on, "", "version that the document was derived from");
DEFINE_string(workspaces, "", "workspaces that may use a route");
DEFINE_bool(open, false, "whether a route needs no key");
DEFINE_bool(repeatable, true, "whether calls of a route may be repeated");
DEFINE_string(admin, "", "admin addresses of entries, http://IP:port");
DEFINE_string(api, "", "address of the client API, http://IP:port");
DEFINE_string(key, "", "key of a client");
DECLARE_bool(help);
DECLARE_bool(version);

namespace carawayrelay {
namespace {

using Words = std::vector<std::string>;

Error Invalid(std::string message) {
  return {ErrorCode::kInvalid, std::move(message)};
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) {
      items.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return items;
}

// Returns the name of an option without dashes and value.
std::string OptionName(std::string_view argument) {
  argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
  return std::string(argument.substr(0, argument.find('=')));
}

// Rejects the arguments that gflags does not accept. gflags would end the
// program with exit code 1, but the documented code is 2.
Result<void> CheckOptions(const Words& arguments) {
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument == "--") {
      return Success();
    }
    if (argument.size() < 2 || argument[0] != '-') {
      continue;
    }
    std::string name = OptionName(argument);
    gflags::CommandLineFlagInfo info;
    bool known = gflags::GetCommandLineFlagInfo(name.c_str(), &info);
    if (!known && name.starts_with("no")) {
      known = gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &info) &&
              info.type == "bool";
    }
    if (!known) {
      return Invalid("unknown option '" + argument + "'");
    }
    const size_t equals = argument.find('=');
    if (info.type == "bool") {
      const std::string value =
          equals == std::string::npos ? "true" : argument.substr(equals + 1);
      if (value != "true" && value != "false") {
        return Invalid("'" + argument + "' must be true or false");
      }
    } else if (equals == std::string::npos && ++i == arguments.size()) {
      return Invalid("option '" + argument + "' needs a value");
    }
  }
  return Success();
}

// Joins all --admin options into one with a list, because gflags uses only the
// last value of a repeated option.
Words JoinAdminOptions(const Words& arguments) {
  Words joined;
  std::string list;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (!argument.starts_with('-') || OptionName(argument) != "admin") {
      joined.push_back(argument);
      continue;
    }
    const size_t equals = argument.find('=');
    list += list.empty() ? "" : ",";
    list += equals == std::string::npos ? arguments[++i]
                                        : argument.substr(equals + 1);
  }
  if (!list.empty()) {
    joined.insert(joined.begin(), "--admin=" + list);
  }
  return joined;
}

// Returns the only argument after the `count` words of the command name. `what`
// describes the argument in error messages.
Result<std::string> ParseSingleArgument(const Words& words,
                                        size_t count,
                                        const std::string& what) {
  if (words.size() != count + 1) {
    return Invalid(words.size() <= count ? "a " + what + " is missing"
                                         : "unexpected '" + words.back() + "'");
  }
  return words.back();
}

template <class CommandType>
Result<Command> ParseWithArgument(const Words& words,
                                  size_t count,
                                  const std::string& what) {
  BOOST_OUTCOME_TRY(std::string word, ParseSingleArgument(words, count, what));
  return Command{CommandType{std::move(word)}};
}

// For roles whose settings file the platform assigns if none is given.
template <class CommandType>
Result<Command> ParseWithOptionalSettings(const CommandLine& line) {
  if (line.words.size() != 1) {
    return Invalid("unexpected '" + line.words.back() + "'");
  }
  return Command{CommandType{line.options.settings}};
}

template <class CommandType>
Result<Command> ParseWithSettings(const CommandLine& line) {
  if (line.words.size() != 1) {
    return Invalid("unexpected '" + line.words.back() + "'");
  }
  if (line.options.settings.empty()) {
    return Invalid("--settings FILE is missing");
  }
  return Command{CommandType{line.options.settings}};
}

Result<Command> ParseCheck(const CommandLine& line) {
  BOOST_OUTCOME_TRY(std::string file,
                    ParseSingleArgument(line.words, 1, "file"));
  const std::string& kind = line.options.kind;
  CheckCommand command{.file = std::move(file)};
  if (kind == "entry") {
    command.kind = FileKind::kEntry;
  } else if (kind == "agent") {
    command.kind = FileKind::kAgent;
  } else if (kind == "config") {
    command.kind = FileKind::kConfig;
  } else if (kind == "frontend") {
    command.kind = FileKind::kFrontend;
  } else if (kind == "worker") {
    command.kind = FileKind::kWorker;
  } else if (!kind.empty()) {
    return Invalid("--kind must be entry, agent, config, frontend or worker");
  }
  return Command{command};
}

Result<Command> ParseApply(const CommandLine& line) {
  BOOST_OUTCOME_TRY(std::string file,
                    ParseSingleArgument(line.words, 1, "file"));
  ApplyCommand command{.file = std::move(file)};
  const std::string& text = line.options.based_on;
  if (!text.empty()) {
    std::uint64_t version = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return Invalid("--based_on must be a version number");
    }
    command.based_on = ConfigVersion{version};
  }
  return Command{command};
}

Result<Command> ParseRouteSet(const CommandLine& line) {
  BOOST_OUTCOME_TRY(std::string name,
                    ParseSingleArgument(line.words, 2, "route"));
  const CommandOptions& options = line.options;
  if (!options.kind.empty() && options.kind != "model" &&
      options.kind != "service") {
    return Invalid("--kind must be model or service");
  }
  return Command{
      RouteSetCommand{{.name = std::move(name),
                       .kind = options.kind == "service" ? RouteKind::kService
                                                         : RouteKind::kModel,
                       .open = options.open,
                       .repeatable = options.repeatable,
                       .workspaces = SplitList(options.workspaces)}}};
}

Result<Command> ParseJobSubmit(const CommandLine& line) {
  BOOST_OUTCOME_TRY(std::string file,
                    ParseSingleArgument(line.words, 2, "file"));
  // Without a name, repeating a submission after a lost response would create a
  // second job.
  if (line.options.name.empty()) {
    return Invalid("--name NAME is missing");
  }
  return Command{JobSubmitCommand{.file = std::move(file),
                                  .name = line.options.name,
                                  .model = line.options.model}};
}

}  // namespace

Result<CommandLine> SplitCommandLine(std::vector<std::string> arguments) {
  BOOST_OUTCOME_TRY(CheckOptions(arguments));
  arguments = JoinAdminOptions(arguments);
  arguments.insert(arguments.begin(), "carawayrelay");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  int count = static_cast<int>(pointers.size());
  pointers.push_back(nullptr);
  char** values = pointers.data();
  gflags::ParseCommandLineNonHelpFlags(&count, &values, /*remove_flags=*/true);
  return CommandLine{.words = Words(values + 1, values + count),
                     .options = {.settings = FLAGS_settings,
                                 .kind = FLAGS_kind,
                                 .name = FLAGS_name,
                                 .model = FLAGS_model,
                                 .based_on = FLAGS_based_on,
                                 .workspaces = FLAGS_workspaces,
                                 .open = FLAGS_open,
                                 .repeatable = FLAGS_repeatable,
                                 .help = FLAGS_help,
                                 .version = FLAGS_version,
                                 .admin = FLAGS_admin,
                                 .api = FLAGS_api,
                                 .key = FLAGS_key}};
}

Result<Command> ParseCommand(const CommandLine& line) {
  const Words& words = line.words;
  const std::string first = words.empty() ? "" : words[0];
  const std::string first_two =
      words.size() < 2 ? first : first + " " + words[1];
  if (line.options.help || first == "help") {
    return Command{HelpCommand{}};
  }
  if (line.options.version) {
    return Command{VersionCommand{}};
  }
  if (first == "entry") {
    return ParseWithSettings<EntryCommand>(line);
  }
  if (first == "agent") {
    return ParseWithSettings<AgentCommand>(line);
  }
  if (first == "frontend") {
    return ParseWithOptionalSettings<FrontendCommand>(line);
  }
  if (first == "worker") {
    return ParseWithOptionalSettings<WorkerCommand>(line);
  }
  if (first == "check") {
    return ParseCheck(line);
  }
  if (first == "explain") {
    if (words.size() < 3) {
      return Invalid("explain needs an id and log files");
    }
    return Command{ExplainCommand{
        .id = words[1], .files = Words(words.begin() + 2, words.end())}};
  }
  if (first == "apply") {
    return ParseApply(line);
  }
  if (first == "status" && words.size() == 1) {
    return Command{StatusCommand{}};
  }
  if (first_two == "key issue") {
    return ParseWithArgument<KeyIssueCommand>(words, 2, "workspace");
  }
  if (first_two == "key withdraw") {
    return ParseWithArgument<KeyWithdrawCommand>(words, 2, "key id");
  }
  if (first_two == "route set") {
    return ParseRouteSet(line);
  }
  if (first_two == "route remove") {
    return ParseWithArgument<RouteRemoveCommand>(words, 2, "route");
  }
  if (first_two == "zone out") {
    return ParseWithArgument<ZoneOutCommand>(words, 2, "zone");
  }
  if (first_two == "zone in") {
    return ParseWithArgument<ZoneInCommand>(words, 2, "zone");
  }
  if (first_two == "job submit") {
    return ParseJobSubmit(line);
  }
  if (first_two == "job status") {
    return ParseWithArgument<JobStatusCommand>(words, 2, "job id");
  }
  if (first_two == "job cancel") {
    return ParseWithArgument<JobCancelCommand>(words, 2, "job id");
  }
  if (first_two == "job results") {
    return ParseWithArgument<JobResultsCommand>(words, 2, "job id");
  }
  return Invalid(first.empty() ? "a command is missing"
                               : "unknown command '" + first_two + "'");
}

CommandContext MakeContext(const CommandOptions& options,
                           const Environment& environment,
                           std::ostream& out,
                           std::ostream& err) {
  const auto or_environment = [&](const std::string& value, const char* name) {
    return value.empty() ? environment(name) : value;
  };
  return {.admin_urls =
              SplitList(or_environment(options.admin, "CARAWAYRELAY_ADMIN")),
          .api_url = or_environment(options.api, "CARAWAYRELAY_API"),
          .api_key = or_environment(options.key, "CARAWAYRELAY_KEY"),
          .out = out,
          .err = err};
}

}  // namespace carawayrelay
