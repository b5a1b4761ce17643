#pragma once

#include <optional>
#include <string>

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// The kind of file that the field names of a JSON text belong to. Nothing when
// they fit no kind or two kinds equally well.
std::optional<FileKind> DetectFileKind(const std::string& json);

// Prints all findings with their JSON path.
ExitCode RunCheck(const CheckCommand& command, const CommandContext& context);

// Prints one line for each finding: "<file>: <path>: <message>".
void PrintFindings(const std::string& file,
                   const Findings& findings,
                   std::ostream& out);

}  // namespace carawayrelay
