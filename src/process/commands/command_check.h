#pragma once

#include <optional>
#include <string>

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Detects the kind of a file from its top-level field names. Returns
// std::nullopt if they match no kind, or two kinds equally well.
std::optional<FileKind> DetectFileKind(const std::string& json);

// Checks the file and prints all findings.
ExitCode RunCheck(const CheckCommand& command, const CommandContext& context);

// Prints one line for each finding: "<file>: <path>: <message>".
void PrintFindings(const std::string& file,
                   const Findings& findings,
                   std::ostream& out);

}  // namespace carawayrelay
