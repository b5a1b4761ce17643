#include "process/serving/serving_command.h"

#include <csignal>
#include <iostream>
#include <random>

#include "platform/settings_file.h"
#include "process/commands/exit_code.h"
#include "process/commands/text_file.h"
#include "process/serving/frontend_process.h"
#include "process/serving/worker_process.h"
#include "process/telemetry/decision_log.h"
#include "process/transport/heap_settings.h"

namespace carawayrelay {
namespace {

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

// Blocks the signals before threads start, so that only sigwait() receives
// them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writes to closed connections fail with an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

template <class Process>
void WaitForStop(const sigset_t& signals, Process& process) {
  while (true) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal != SIGHUP) {
      process.Drain();
      return;
    }
    process.Reload();
  }
}

template <class Process, class Settings>
int RunRole(const std::string& path,
            std::optional<Settings> (*parse)(const std::string&, Findings&)) {
  const std::string file = path.empty() ? platform::SettingsPath() : path;
  const Result<std::string> text = ReadTextFile(file);
  if (!text) {
    std::cerr << text.error().message << '\n';
    return static_cast<int>(ExitCode::kInvalidInput);
  }
  Findings findings;
  std::optional<Settings> settings = parse(text.value(), findings);
  if (!settings) {
    std::cerr << file << ":\n" << findings.ToText();
    return static_cast<int>(ExitCode::kInvalidInput);
  }
  SetUpHeap();
  const sigset_t signals = BlockSignals();
  StartDecisionLog(settings->node);
  {
    auto process = Process::Make(*std::move(settings), RandomSeed());
    if (!process) {
      LogDecision(LogEvent::kServingFailed, "reason", process.error().message);
      StopDecisionLog();
      return static_cast<int>(ExitCode::kFailed);
    }
    WaitForStop(signals, *process.value());
  }
  StopDecisionLog();
  return static_cast<int>(ExitCode::kOk);
}

}  // namespace

int RunFrontend(const std::string& settings_path) {
  return RunRole<FrontendProcess>(settings_path, &ParseFrontendSettings);
}

int RunWorker(const std::string& settings_path) {
  return RunRole<WorkerProcess>(settings_path, &ParseWorkerSettings);
}

}  // namespace carawayrelay
