#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Runs a command to its end and prints its result. Returns the exit status of
// the process.
int RunCommand(const Command& command, const CommandContext& context);

}  // namespace carawayrelay
