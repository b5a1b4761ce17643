#pragma once

#include <string>

#include "carawayrelay/request.h"
#include "version/config_document.h"

namespace carawayrelay {

// Changes of single parts of a configuration document. Each returns whether
// the document changed, and fails with kNotFound or kConflict when the change
// does not fit the document. References are checked by ParseConfigDocument().

// Fails with kNotFound for an unknown workspace and kConflict for a key id that
// is in use.
Result<bool> AddKey(ConfigDocument& document, const KeyConfig& key);
Result<bool> WithdrawKey(ConfigDocument& document, const std::string& key_id);
// Adds the route or replaces the one of the same name.
Result<bool> SetRoute(ConfigDocument& document, const RouteConfig& route);
Result<bool> RemoveRoute(ConfigDocument& document, const std::string& name);
Result<bool> TakeZoneOut(ConfigDocument& document, const std::string& zone);
Result<bool> BringZoneIn(ConfigDocument& document, const std::string& zone);

}  // namespace carawayrelay
