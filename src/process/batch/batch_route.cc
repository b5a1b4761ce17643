#include "process/batch/batch_route.h"

namespace carawayrelay {

std::optional<ItemError> CheckBatchRoute(const ConfigSnapshot& config,
                                         const std::string& workspace,
                                         const std::string& model) {
  if (config.FindWorkspace(workspace) == nullptr) {
    return ItemError{ToString(RefusalCode::kForbidden),
                     "workspace '" + workspace + "' does not exist"};
  }
  const RouteConfig* route = config.FindRoute(model);
  if (route == nullptr || route->kind != RouteKind::kModel) {
    return ItemError{ToString(RefusalCode::kNotFound),
                     "no model '" + model + "'"};
  }
  if (!ConfigSnapshot::MayUse(*route, workspace)) {
    return ItemError{ToString(RefusalCode::kForbidden),
                     "model '" + model + "' is not open to the workspace"};
  }
  if (!route->repeatable) {
    return ItemError{
        ToString(RefusalCode::kInvalidRequest),
        "model '" + model + "' must not be repeated, which batch items may be"};
  }
  return std::nullopt;
}

}  // namespace carawayrelay
