#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace carawayrelay::tools {

// Writes the history of one process to standard output, one JSON object per
// line. README.md lists the events. Each line is flushed immediately, so that
// the history is complete even if the process is killed.
class EventLog {
 public:
  explicit EventLog(std::string process) : process_(std::move(process)) {}

  // Adds `t_ns` (BootClock), `process` and `event` to `fields`.
  void Write(const char* event, nlohmann::json fields) const;

 private:
  std::string process_;
};

}  // namespace carawayrelay::tools
