#include "process/telemetry/decision_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

// The queue holds about 400 bytes for each line from the start on.
constexpr size_t kMaxQueuedLines = 1024;
// Limit per event. Further lines of that event in the same second are dropped
// and counted.
constexpr int kMaxLinesPerSecond = 200;

struct Budget {
  std::chrono::seconds second{0};
  int used = 0;
};

struct LogState {
  std::mutex mutex;
  std::map<LogEvent, Budget> budgets;
  std::atomic<std::uint64_t> dropped{0};
  std::string node;
  std::shared_ptr<spdlog::async_logger> logger;
};

LogState& State() {
  static LogState state;
  return state;
}

}  // namespace

void StartDecisionLog(const std::string& node) {
  LogState& state = State();
  state.node = node;
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  state.logger = std::make_shared<spdlog::async_logger>(
      "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  state.logger->set_pattern("%v");
  state.logger->flush_on(spdlog::level::info);
}

void StopDecisionLog() {
  State().logger.reset();
  spdlog::shutdown();
}

std::uint64_t DroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return State().dropped + (pool ? pool->overrun_counter() : 0);
}

namespace internal {

bool ConsumeLogBudget(LogEvent event) {
  LogState& state = State();
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      BootClock::now().time_since_epoch());
  std::lock_guard lock(state.mutex);
  Budget& budget = state.budgets[event];
  if (budget.second != second) {
    budget = {.second = second};
  }
  if (budget.used >= kMaxLinesPerSecond) {
    ++state.dropped;
    return false;
  }
  ++budget.used;
  return true;
}

void WriteLogLine(const std::string& line) {
  if (const auto logger = State().logger) {
    logger->info(line);
  }
}

std::string BeginLogLine(LogEvent event) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::string line = "{\"t_ms\":" + std::to_string(now.count()) +
                     ",\"event\":" + std::to_string(static_cast<int>(event));
  AppendField(line, "name", std::string_view(EventName(event)));
  AppendField(line, "node", State().node);
  return line;
}

void AppendText(std::string& line, std::string_view value) {
  line += nlohmann::json(value).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

}  // namespace internal
}  // namespace carawayrelay
