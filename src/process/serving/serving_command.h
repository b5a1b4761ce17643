#pragma once

#include <string>

namespace carawayrelay {

// Run a serving role until SIGTERM or SIGINT. An empty path stands for the
// settings file that the platform names. They return the exit status.
int RunFrontend(const std::string& settings_path);
int RunWorker(const std::string& settings_path);

}  // namespace carawayrelay
