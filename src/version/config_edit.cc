#include "version/config_edit.h"

#include <algorithm>

namespace carawayrelay {
namespace {

template <class Items>
auto FindBy(Items& items,
            std::string Items::value_type::*field,
            const std::string& value) {
  return std::find_if(items.begin(), items.end(),
                      [&](const auto& item) { return item.*field == value; });
}

// Removes the item whose `field` equals `value`. `what` names the kind of item
// in the error message.
template <class Items>
Result<bool> Remove(Items& items,
                    std::string Items::value_type::*field,
                    const std::string& value,
                    const std::string& what) {
  const auto it = FindBy(items, field, value);
  if (it == items.end()) {
    return Error{ErrorCode::kNotFound, "no " + what + " '" + value + "'"};
  }
  items.erase(it);
  return true;
}

bool IsEqual(const RouteConfig& a, const RouteConfig& b) {
  return a.name == b.name && a.kind == b.kind && a.open == b.open &&
         a.repeatable == b.repeatable && a.workspaces == b.workspaces;
}

}  // namespace

Result<bool> AddKey(ConfigDocument& document, const KeyConfig& key) {
  if (FindBy(document.workspaces, &WorkspaceConfig::name, key.workspace) ==
      document.workspaces.end()) {
    return Error{ErrorCode::kNotFound, "no workspace '" + key.workspace + "'"};
  }
  if (FindBy(document.keys, &KeyConfig::id, key.id) != document.keys.end()) {
    return Error{ErrorCode::kConflict, "key '" + key.id + "' exists"};
  }
  document.keys.push_back(key);
  return true;
}

Result<bool> WithdrawKey(ConfigDocument& document, const std::string& key_id) {
  return Remove(document.keys, &KeyConfig::id, key_id, "key");
}

Result<bool> SetRoute(ConfigDocument& document, const RouteConfig& route) {
  const auto it = FindBy(document.routes, &RouteConfig::name, route.name);
  if (it == document.routes.end()) {
    document.routes.push_back(route);
    return true;
  }
  if (IsEqual(*it, route)) {
    return false;
  }
  *it = route;
  return true;
}

Result<bool> RemoveRoute(ConfigDocument& document, const std::string& name) {
  return Remove(document.routes, &RouteConfig::name, name, "route");
}

Result<bool> TakeZoneOut(ConfigDocument& document, const std::string& zone) {
  if (std::count(document.zones_out.begin(), document.zones_out.end(), zone) >
      0) {
    return false;
  }
  document.zones_out.push_back(zone);
  return true;
}

Result<bool> BringZoneIn(ConfigDocument& document, const std::string& zone) {
  return std::erase(document.zones_out, zone) > 0;
}

}  // namespace carawayrelay
