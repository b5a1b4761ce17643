#pragma once

#include <string>

#include "process/commands/command.h"
#include "process/commands/exit_code.h"

namespace carawayrelay {

// Completes the lines of a batch file. A line that is only the body of a chat
// request becomes an item with the custom id "line-<number>", and `model`
// (unless empty) is set in bodies without a model. All other lines stay
// unchanged, so that the entry reports their errors.
std::string CompleteBatchLines(const std::string& text,
                               const std::string& model);

// Uploads the file and creates a job with the given name. A request without a
// response is repeated, which creates no second job: the entry finds an
// existing file by its content and an existing job by its name.
ExitCode RunJobSubmit(const JobSubmitCommand& command,
                      const CommandContext& context);
ExitCode RunJobStatus(const JobStatusCommand& command,
                      const CommandContext& context);
ExitCode RunJobCancel(const JobCancelCommand& command,
                      const CommandContext& context);
// Prints the output lines and then the error lines. Returns kFailed unless
// the job is completed or cancelled, because its results are incomplete before.
ExitCode RunJobResults(const JobResultsCommand& command,
                       const CommandContext& context);

}  // namespace carawayrelay
