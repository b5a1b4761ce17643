#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Publishes a document as it is. A change that another operator made since
// `based_on` is a conflict and is not repeated, because the document would
// remove it.
ExitCode RunApply(const ApplyCommand& command, const CommandContext& context);

// The commands below read the configuration, change one part and publish it.
// They start again a bounded number of times when another change comes first.
ExitCode RunKeyIssue(const KeyIssueCommand& command,
                     const CommandContext& context);
ExitCode RunKeyWithdraw(const KeyWithdrawCommand& command,
                        const CommandContext& context);
ExitCode RunRouteSet(const RouteSetCommand& command,
                     const CommandContext& context);
ExitCode RunRouteRemove(const RouteRemoveCommand& command,
                        const CommandContext& context);
ExitCode RunZoneOut(const ZoneOutCommand& command,
                    const CommandContext& context);
ExitCode RunZoneIn(const ZoneInCommand& command, const CommandContext& context);

// Shows each entry; fails with kUnavailable when one does not answer.
ExitCode RunStatus(const CommandContext& context);

}  // namespace carawayrelay
