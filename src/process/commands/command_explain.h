#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Prints the timeline of the request or job. Returns kInvalidInput if a file
// cannot be read or no line contains the id.
ExitCode RunExplain(const ExplainCommand& command,
                    const CommandContext& context);

}  // namespace carawayrelay
