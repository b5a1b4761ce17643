#pragma once

#include <optional>
#include <string>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// Returns the reason why batch items of `workspace` for `model` cannot run
// under `config`, or nothing when they can.
std::optional<ItemError> CheckBatchRoute(const ConfigSnapshot& config,
                                         const std::string& workspace,
                                         const std::string& model);

}  // namespace carawayrelay
