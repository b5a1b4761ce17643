#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/request.h"
#include "process/commands/command.h"

namespace carawayrelay {

// Values of the options, as given; an empty string stands for a missing one.
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

// Words before and between the options, and the options.
struct CommandLine {
  std::vector<std::string> words;
  CommandOptions options;
};

// Value of an environment variable, or an empty string.
using Environment = std::function<std::string(const std::string& name)>;

// Splits the arguments (without the program name) with gflags. Unknown options
// and options without their value fail with kInvalid. Changes the process-wide
// flags, so call it once.
Result<CommandLine> SplitCommandLine(std::vector<std::string> arguments);

// Fails with kInvalid and the reason.
Result<Command> ParseCommand(const CommandLine& line);

// The addresses and the key from the options or else from CARAWAYRELAY_ADMIN,
// CARAWAYRELAY_API and CARAWAYRELAY_KEY.
CommandContext MakeContext(const CommandOptions& options,
                           const Environment& environment,
                           std::ostream& out,
                           std::ostream& err);

}  // namespace carawayrelay
