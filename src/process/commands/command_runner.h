#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Runs a command to completion and prints its result. Returns the exit code of
// the process.
int RunCommand(const Command& command, const CommandContext& context);

}  // namespace carawayrelay
