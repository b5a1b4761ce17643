#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// What an agent checks a Submit against, apart from its window.
struct SubmitContext {
  LinkClass link_class = LinkClass::kOnline;
  bool is_draining = false;
  const std::string& zone;
  const std::vector<std::string>& routes;
  const ConfigSnapshot* config = nullptr;
};

// Returns why the work cannot be accepted, always with `not_run`, or nothing.
std::optional<Refusal> CheckSubmit(const Submit& submit,
                                   const SubmitContext& context);

}  // namespace carawayrelay
