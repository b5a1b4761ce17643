#pragma once

#include <string>

#include "carawayrelay/version.h"

namespace carawayrelay::tools {

// API key of a client and its record in the configuration.
struct TestKey {
  std::string token;  // "cr_<id>_<secret>"
  KeyConfig config;
};

// Derives the key from `id` alone, so every run has the same keys. They are not
// secret; use them on loopback only.
TestKey MakeTestKey(const std::string& id, const std::string& workspace);

}  // namespace carawayrelay::tools
