#include "process/commands/command_runner.h"

#include "process/commands/command_check.h"
#include "process/commands/command_config.h"
#include "process/commands/command_explain.h"
#include "process/commands/command_help.h"
#include "process/commands/command_job.h"
#include "process/serving/serving_command.h"
#if __has_include("process/commands/entry_command.h")
#include "process/commands/entry_command.h"
#endif
#if __has_include("process/agent/agent_process.h")
#include "process/agent/agent_process.h"
#endif

namespace carawayrelay {
namespace {

class CommandVisitor {
 public:
  explicit CommandVisitor(const CommandContext& context) : context_(context) {}

  int operator()([[maybe_unused]] const EntryCommand& command) const {
#if __has_include("process/commands/entry_command.h")
    return RunEntry(command.settings_file);
#else
    context_.err << "this build has no entry role\n";
    return static_cast<int>(ExitCode::kFailed);
#endif
  }
  int operator()([[maybe_unused]] const AgentCommand& command) const {
#if __has_include("process/agent/agent_process.h")
    return RunAgent(command.settings_file);
#else
    context_.err << "this build has no agent role\n";
    return static_cast<int>(ExitCode::kFailed);
#endif
  }
  int operator()(const FrontendCommand& command) const {
    return RunFrontend(command.settings_file);
  }
  int operator()(const WorkerCommand& command) const {
    return RunWorker(command.settings_file);
  }
  int operator()(const CheckCommand& command) const {
    return ToInt(RunCheck(command, context_));
  }
  int operator()(const ExplainCommand& command) const {
    return ToInt(RunExplain(command, context_));
  }
  int operator()(const ApplyCommand& command) const {
    return ToInt(RunApply(command, context_));
  }
  int operator()(const KeyIssueCommand& command) const {
    return ToInt(RunKeyIssue(command, context_));
  }
  int operator()(const KeyWithdrawCommand& command) const {
    return ToInt(RunKeyWithdraw(command, context_));
  }
  int operator()(const RouteSetCommand& command) const {
    return ToInt(RunRouteSet(command, context_));
  }
  int operator()(const RouteRemoveCommand& command) const {
    return ToInt(RunRouteRemove(command, context_));
  }
  int operator()(const ZoneOutCommand& command) const {
    return ToInt(RunZoneOut(command, context_));
  }
  int operator()(const ZoneInCommand& command) const {
    return ToInt(RunZoneIn(command, context_));
  }
  int operator()(const JobSubmitCommand& command) const {
    return ToInt(RunJobSubmit(command, context_));
  }
  int operator()(const JobStatusCommand& command) const {
    return ToInt(RunJobStatus(command, context_));
  }
  int operator()(const JobCancelCommand& command) const {
    return ToInt(RunJobCancel(command, context_));
  }
  int operator()(const JobResultsCommand& command) const {
    return ToInt(RunJobResults(command, context_));
  }
  int operator()(const StatusCommand&) const {
    return ToInt(RunStatus(context_));
  }
  int operator()(const HelpCommand&) const {
    context_.out << HelpText();
    return ToInt(ExitCode::kOk);
  }
  int operator()(const VersionCommand&) const {
    context_.out << "carawayrelay " << RELAY_VERSION << '\n';
    return ToInt(ExitCode::kOk);
  }

 private:
  static int ToInt(ExitCode code) {
    return static_cast<int>(code);
  }

  const CommandContext& context_;
};

}  // namespace

int RunCommand(const Command& command, const CommandContext& context) {
  return std::visit(CommandVisitor(context), command);
}

}  // namespace carawayrelay
