#pragma once

#include <string_view>

namespace carawayrelay {

// Text of --help: every command with an example, options and exit codes.
std::string_view HelpText();

}  // namespace carawayrelay
