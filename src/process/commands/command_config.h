#pragma once

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Publishes a document unchanged. If another operator changed the configuration
// since `based_on`, returns kConflict without a retry, because the document
// would undo that change.
ExitCode RunApply(const ApplyCommand& command, const CommandContext& context);

// The functions up to RunZoneIn() read the configuration, change one part and
// publish it. If another change is published first, they start again, up to a
// fixed number of times.
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

// Prints the status of each entry. The last failure decides the exit code:
// kUnavailable if an entry does not respond correctly, kInvalidInput if its
// address is malformed.
ExitCode RunStatus(const CommandContext& context);

}  // namespace carawayrelay
