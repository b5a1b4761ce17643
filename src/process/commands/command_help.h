#pragma once

#include <string_view>

namespace carawayrelay {

// Returns the text of --help: all commands with an example each, the options
// and the exit codes.
std::string_view HelpText();

}  // namespace carawayrelay
