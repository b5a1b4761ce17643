#pragma once

#include <string>

#include "carawayrelay/version.h"

namespace carawayrelay::tools {

// A caller's key and its entry in the configuration.
struct TestKey {
  std::string token;  // "cr_<id>_<secret>"
  KeyConfig config;
};

// Makes the same key for the same id, which is enough on loopback.
TestKey MakeTestKey(const std::string& id, const std::string& workspace);

}  // namespace carawayrelay::tools
