#pragma once

#include <string>

namespace carawayrelay {

// Runs the entry role until SIGTERM or SIGINT. Returns the exit code of the
// process: 0 after a graceful shutdown, 1 if the role cannot start, 2 if the
// settings are invalid.
int RunEntry(const std::string& settings_path);

}  // namespace carawayrelay
