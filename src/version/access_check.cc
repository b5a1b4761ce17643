#include "version/access_check.h"

namespace carawayrelay {
namespace {

std::variant<Access, Refusal> CheckRoute(const ConfigSnapshot& config,
                                         const KeyConfig& key,
                                         const RouteConfig* route,
                                         const std::string& name) {
  if (route == nullptr) {
    return Refusal{.code = RefusalCode::kNotFound,
                   .reason = "no route '" + name + "'"};
  }
  if (!ConfigSnapshot::MayUse(*route, key.workspace)) {
    return Refusal{.code = RefusalCode::kForbidden,
                   .reason = "workspace '" + key.workspace +
                             "' may not use route '" + name + "'"};
  }
  const WorkspaceConfig* workspace = config.FindWorkspace(key.workspace);
  return Access{.key_id = key.id,
                .key_hash = key.hash,
                .workspace = key.workspace,
                .weight = workspace == nullptr ? 1 : workspace->weight,
                .repeatable = route->repeatable};
}

const RouteConfig* FindRouteOfKind(const ConfigSnapshot& config,
                                   CallKind kind,
                                   const std::string& name) {
  const RouteConfig* route = config.FindRoute(name);
  const RouteKind required_kind =
      kind == CallKind::kModel ? RouteKind::kModel : RouteKind::kService;
  return route != nullptr && route->kind == required_kind ? route : nullptr;
}

}  // namespace

std::variant<Access, Refusal> CheckAccess(const ConfigSnapshot& config,
                                          const std::string& bearer_token,
                                          CallKind kind,
                                          const std::string& route) {
  const RouteConfig* found = FindRouteOfKind(config, kind, route);
  if (found != nullptr && found->open) {
    return Access{.repeatable = found->repeatable};
  }
  const KeyConfig* key = config.Authenticate(bearer_token);
  if (key == nullptr) {
    return Refusal{.code = RefusalCode::kUnauthorized,
                   .reason = "missing, unknown or withdrawn key"};
  }
  return CheckRoute(config, *key, found, route);
}

std::variant<Access, Refusal> RecheckAccess(const ConfigSnapshot& config,
                                            const Access& access,
                                            CallKind kind,
                                            const std::string& route) {
  const RouteConfig* found = FindRouteOfKind(config, kind, route);
  if (found != nullptr && found->open && access.key_id.empty()) {
    return Access{.repeatable = found->repeatable};
  }
  if (!IsKeyValid(config, access)) {
    return Refusal{.code = RefusalCode::kUnauthorized,
                   .reason = "the key was withdrawn"};
  }
  return CheckRoute(config, *config.FindKey(access.key_id), found, route);
}

bool IsKeyValid(const ConfigSnapshot& config, const Access& access) {
  const KeyConfig* key = config.FindKey(access.key_id);
  return key != nullptr && key->hash == access.key_hash &&
         key->workspace == access.workspace;
}

}  // namespace carawayrelay
