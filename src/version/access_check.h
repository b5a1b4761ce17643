#pragma once

#include <string>
#include <variant>

#include "carawayrelay/request.h"
#include "version/config_snapshot.h"

namespace carawayrelay {

// Outcome of an access check: for whom a request runs.
struct Access {
  // Empty on open routes, which run for no workspace.
  std::string key_id;
  // Tells a key that was issued anew under the same id.
  std::string key_hash;
  std::string workspace;
  double weight = 1;
  bool repeatable = true;
};

// Checks the key and the right to use the route under one version. Returns a
// Refusal with kUnauthorized, kNotFound or kForbidden.
std::variant<Access, Refusal> CheckAccess(const ConfigSnapshot& config,
                                          const std::string& bearer_token,
                                          CallKind kind,
                                          const std::string& route);

// Repeats the check of an accepted request, whose key is known by its id,
// under another version.
std::variant<Access, Refusal> RecheckAccess(const ConfigSnapshot& config,
                                            const Access& access,
                                            CallKind kind,
                                            const std::string& route);

// True when the version still has the key of an accepted request, with the
// same secret and workspace.
bool IsKeyValid(const ConfigSnapshot& config, const Access& access);

}  // namespace carawayrelay
