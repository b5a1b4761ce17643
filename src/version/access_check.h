#pragma once

#include <string>
#include <variant>

#include "carawayrelay/request.h"
#include "version/config_snapshot.h"

namespace carawayrelay {

// Result of a successful access check: the key and workspace that a request
// runs for, and the properties of its route that dispatch needs.
struct Access {
  // Empty on open routes, as are the hash and the workspace: requests on open
  // routes run for no workspace.
  std::string key_id;
  // Distinguishes the key from a later key that was issued with the same id.
  std::string key_hash;
  std::string workspace;
  double weight = 1;
  // False when a call on the route must run at most once.
  bool repeatable = true;
};

// Checks a key and its right to use a route under one configuration version.
// Returns a Refusal with kUnauthorized, kNotFound or kForbidden on failure.
std::variant<Access, Refusal> CheckAccess(const ConfigSnapshot& config,
                                          const std::string& bearer_token,
                                          CallKind kind,
                                          const std::string& route);

// Repeats the check of an accepted request under another configuration version.
// Finds the key by the id in `access`, without its secret.
std::variant<Access, Refusal> RecheckAccess(const ConfigSnapshot& config,
                                            const Access& access,
                                            CallKind kind,
                                            const std::string& route);

// True when the configuration version contains the key of an accepted request
// with the same secret hash and workspace.
bool IsKeyValid(const ConfigSnapshot& config, const Access& access);

}  // namespace carawayrelay
