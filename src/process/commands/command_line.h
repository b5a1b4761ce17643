#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/request.h"
#include "process/commands/command.h"

namespace carawayrelay {

// Values of the options as given on the command line. A string is empty if its
// option is missing.
struct CommandOptions {
  std::string settings;
  std::string kind;
  std::string name;
  std::string model;
  std::string based_on;
  std::string workspaces;  // separated by commas
  bool open = false;
  bool repeatable = true;
  bool help = false;
  bool version = false;
  std::string admin;  // separated by commas
  std::string api;
  std::string key;
};

// Positional arguments, which may stand between options, and the options.
struct CommandLine {
  std::vector<std::string> words;
  CommandOptions options;
};

// Returns the value of an environment variable, or an empty string.
using Environment = std::function<std::string(const std::string& name)>;

// Separates options from positional arguments with gflags. `arguments` excludes
// the program name. Fails with kInvalid for unknown options and missing or
// malformed values. Call only once per process, because gflags keeps the values
// in global variables.
Result<CommandLine> SplitCommandLine(std::vector<std::string> arguments);

// Fails with kInvalid if the command is unknown or its arguments do not fit.
Result<Command> ParseCommand(const CommandLine& line);

// Takes addresses and key from the options or, where an option is missing, from
// the environment variables CARAWAYRELAY_ADMIN, CARAWAYRELAY_API and
// CARAWAYRELAY_KEY. The streams must outlive the context.
CommandContext MakeContext(const CommandOptions& options,
                           const Environment& environment,
                           std::ostream& out,
                           std::ostream& err);

}  // namespace carawayrelay
