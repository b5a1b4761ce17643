#pragma once

#include <string>

namespace carawayrelay {

// Run a serving role until SIGTERM or SIGINT and return the exit status. With
// an empty path, the settings are read from platform::SettingsPath().
int RunFrontend(const std::string& settings_path);
int RunWorker(const std::string& settings_path);

}  // namespace carawayrelay
