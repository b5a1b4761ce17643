#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// State of an agent that a Submit is checked against. Does not include the
// agent's concurrency window.
struct SubmitContext {
  LinkClass link_class = LinkClass::kOnline;
  bool is_draining = false;
  const std::string& zone;
  const std::vector<std::string>& routes;
  const ConfigSnapshot* config = nullptr;  // nullptr before the first version
};

// Returns the refusal when the agent cannot accept the request, always with run
// state `not_run`; returns nothing when it can.
std::optional<Refusal> CheckSubmit(const Submit& submit,
                                   const SubmitContext& context);

}  // namespace carawayrelay
