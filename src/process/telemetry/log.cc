#include "process/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>

namespace carawayrelay {
namespace {

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

}  // namespace

void InitLog(const std::string& node, LogLevel level) {
  auto logger = std::make_shared<spdlog::logger>(
      node, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %l %n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(level));
  logger->flush_on(spdlog::level::debug);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace carawayrelay
