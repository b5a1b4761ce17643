#pragma once

#include <string>

namespace carawayrelay {

// Runs the entry role until SIGTERM or SIGINT and returns the exit status of
// the process: 0 after a graceful shutdown, 2 for invalid settings, 1 when it
// cannot start.
int RunEntry(const std::string& settings_path);

}  // namespace carawayrelay
