#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace carawayrelay::tools {

// Writes the history of one process to standard output, one JSON object a
// line. README.md lists the events. Each line is written out at once, so that
// the history is whole when the process is killed.
class EventLog {
 public:
  explicit EventLog(std::string process) : process_(std::move(process)) {}

  // Adds `t_ns` (BootClock), `process` and `event` to `fields`.
  void Write(const char* event, nlohmann::json fields) const;

 private:
  std::string process_;
};

}  // namespace carawayrelay::tools
