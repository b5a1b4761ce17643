#include "process/commands/entry_command.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "process/entry/entry_process.h"
#include "process/entry/entry_services.h"
#include "process/telemetry/log.h"
#include "process/transport/heap_settings.h"

namespace carawayrelay {
namespace {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Error{ErrorCode::kNotFound, "cannot read '" + path + "'"};
  }
  return std::move(text).str();
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

int RunEntry(const std::string& settings_path) {
  const Result<std::string> text = ReadFile(settings_path);
  if (!text) {
    std::cerr << text.error().message << '\n';
    return 2;
  }
  Findings findings;
  std::optional<EntrySettings> settings =
      ParseEntrySettings(text.value(), findings);
  if (!settings) {
    std::cerr << findings.ToText();
    return 2;
  }
  SetUpHeap();
  InitLog(settings->node, settings->log_level);
  settings->dispatcher.seed = RandomSeed();

  // Threads inherit the signal mask. The signals are blocked before any thread
  // starts, so that only sigwait() below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  EntryServices services(*settings);
  EntryProcess::Hooks hooks = services.MakeHooks();
  hooks.stop_services = [&services] { services.Stop(); };
  auto process = EntryProcess::Make(*std::move(settings), std::move(hooks));
  if (!process) {
    LogError(LogEvent::kEntryFailed, "{}", process.error().message);
    return 1;
  }
  if (const Result<void> started = services.Start(*process.value()); !started) {
    LogError(LogEvent::kEntryFailed, "{}", started.error().message);
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  process.value()->Drain();
  return 0;
}

}  // namespace carawayrelay
