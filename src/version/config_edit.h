#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "version/config_document.h"

namespace carawayrelay {

// Functions that change one part of a configuration document. Each returns
// whether the document changed, and fails with kNotFound or kConflict when the
// change cannot be applied to the document. They do not check all references;
// ParseConfigDocument() does.

// Fails with kNotFound when the workspace of the key does not exist and with
// kConflict when the key id is in use.
Result<bool> AddKey(ConfigDocument& document, const KeyConfig& key);
Result<bool> WithdrawKey(ConfigDocument& document, const std::string& key_id);
// Adds the route or replaces the route of the same name.
Result<bool> SetRoute(ConfigDocument& document, const RouteConfig& route);
Result<bool> RemoveRoute(ConfigDocument& document, const std::string& name);
Result<bool> TakeZoneOut(ConfigDocument& document, const std::string& zone);
Result<bool> BringZoneIn(ConfigDocument& document, const std::string& zone);

}  // namespace carawayrelay
