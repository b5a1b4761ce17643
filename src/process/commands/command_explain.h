#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Prints the story of the id. Returns kInvalidInput when a file cannot be read
// or no line names the id.
ExitCode RunExplain(const ExplainCommand& command,
                    const CommandContext& context);

}  // namespace carawayrelay
