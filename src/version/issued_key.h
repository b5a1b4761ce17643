#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "version/config_document.h"

namespace carawayrelay {

// A new key of a workspace. The bearer token holds the secret and is shown
// once; the configuration gets only its salted hash.
struct IssuedKey {
  KeyConfig config;
  std::string bearer_token;  // "cr_<id>_<secret>"
};

// Fails with kUnavailable when the system has no randomness.
Result<IssuedKey> IssueKey(const std::string& workspace);

}  // namespace carawayrelay
