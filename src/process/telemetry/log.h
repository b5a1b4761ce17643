#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

#include "process/telemetry/events.h"

namespace carawayrelay {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Directs the text log to standard error and drops lines below `level`. Each
// event is one line: "<UTC time> <level> <node> [<event number>] <text>".
void InitLog(const std::string& node, LogLevel level);

template <class... Args>
void Log(spdlog::level::level_enum level,
         LogEvent event,
         fmt::format_string<Args...> format,
         Args&&... args) {
  if (spdlog::should_log(level)) {
    spdlog::log(level, "[{}] {}", static_cast<int>(event),
                fmt::format(format, std::forward<Args>(args)...));
  }
}

template <class... Args>
void LogInfo(LogEvent event,
             fmt::format_string<Args...> format,
             Args&&... args) {
  Log(spdlog::level::info, event, format, std::forward<Args>(args)...);
}

template <class... Args>
void LogWarning(LogEvent event,
                fmt::format_string<Args...> format,
                Args&&... args) {
  Log(spdlog::level::warn, event, format, std::forward<Args>(args)...);
}

template <class... Args>
void LogError(LogEvent event,
              fmt::format_string<Args...> format,
              Args&&... args) {
  Log(spdlog::level::err, event, format, std::forward<Args>(args)...);
}

}  // namespace carawayrelay
