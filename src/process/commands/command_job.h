#pragma once

#include <string>

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Adds what lines of a batch file leave out: a line that is only the body of a
// chat request becomes an item with the custom id "line-<number>", and `model`
// (when not empty) is set in bodies without a model. Other lines stay as they
// are, so that the entry reports what is wrong with them.
std::string CompleteBatchLines(const std::string& text,
                               const std::string& model);

// Submits a job under a name. Repeats lost requests: the entry finds the first
// file by its content and the first job by its name.
ExitCode RunJobSubmit(const JobSubmitCommand& command,
                      const CommandContext& context);
ExitCode RunJobStatus(const JobStatusCommand& command,
                      const CommandContext& context);
ExitCode RunJobCancel(const JobCancelCommand& command,
                      const CommandContext& context);
// Prints the output lines and then the error lines. Fails with kFailed while
// the job runs.
ExitCode RunJobResults(const JobResultsCommand& command,
                       const CommandContext& context);

}  // namespace carawayrelay
