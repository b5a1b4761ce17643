#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "version/config_document.h"

namespace carawayrelay {

// A new key of a workspace. The bearer token contains the secret and is shown
// only once; the configuration contains only the salted hash of the secret.
struct IssuedKey {
  KeyConfig config;
  std::string bearer_token;  // "cr_<id>_<secret>"
};

// Fails with kUnavailable when the system provides no random bytes.
Result<IssuedKey> IssueKey(const std::string& workspace);

}  // namespace carawayrelay
