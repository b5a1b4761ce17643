#include "standins/event_log.h"

#include <cstdio>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

void EventLog::Write(const char* event, nlohmann::json fields) const {
  fields["t_ns"] = BootClock::now().time_since_epoch().count();
  fields["process"] = process_;
  fields["event"] = event;
  std::string line =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

}  // namespace carawayrelay::tools
