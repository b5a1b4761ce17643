#include "version/config_snapshot.h"

#include <algorithm>
#include <utility>

#include "version/secret_hash.h"

namespace carawayrelay {
namespace {

constexpr std::string_view kKeyPrefix = "cr_";

template <class Items, class Name>
std::unordered_map<std::string, size_t> IndexBy(const Items& items, Name name) {
  std::unordered_map<std::string, size_t> index;
  for (size_t i = 0; i < items.size(); ++i) {
    index.emplace(items[i].*name, i);
  }
  return index;
}

template <class Items>
const typename Items::value_type* Lookup(
    const Items& items,
    const std::unordered_map<std::string, size_t>& index,
    const std::string& name) {
  const auto it = index.find(name);
  return it == index.end() ? nullptr : &items[it->second];
}

}  // namespace

Result<ConfigPtr> ConfigSnapshot::Make(ConfigVersion version,
                                       std::string json) {
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfigDocument(json, findings);
  if (!document) {
    return Error{ErrorCode::kInvalid, findings.ToText()};
  }
  return ConfigPtr(
      new ConfigSnapshot(version, std::move(json), *std::move(document)));
}

ConfigSnapshot::ConfigSnapshot(ConfigVersion version,
                               std::string json,
                               ConfigDocument document)
    : version_(version),
      json_(std::move(json)),
      content_hash_(Sha256Hex(json_)),
      document_(std::move(document)),
      keys_(IndexBy(document_.keys, &KeyConfig::id)),
      routes_(IndexBy(document_.routes, &RouteConfig::name)),
      workspaces_(IndexBy(document_.workspaces, &WorkspaceConfig::name)),
      zones_out_(document_.zones_out.begin(), document_.zones_out.end()) {}

const KeyConfig* ConfigSnapshot::Authenticate(
    std::string_view bearer_token) const {
  if (!bearer_token.starts_with(kKeyPrefix)) {
    return nullptr;
  }
  bearer_token.remove_prefix(kKeyPrefix.size());
  const size_t separator = bearer_token.rfind('_');
  if (separator == std::string_view::npos) {
    return nullptr;
  }
  const KeyConfig* key =
      FindKey(std::string(bearer_token.substr(0, separator)));
  if (key == nullptr) {
    return nullptr;
  }
  const std::string hash =
      Sha256Hex(key->salt + std::string(bearer_token.substr(separator + 1)));
  return EqualConstantTime(hash, key->hash) ? key : nullptr;
}

const KeyConfig* ConfigSnapshot::FindKey(const std::string& id) const {
  return Lookup(document_.keys, keys_, id);
}

const RouteConfig* ConfigSnapshot::FindRoute(const std::string& name) const {
  return Lookup(document_.routes, routes_, name);
}

const WorkspaceConfig* ConfigSnapshot::FindWorkspace(
    const std::string& name) const {
  return Lookup(document_.workspaces, workspaces_, name);
}

bool ConfigSnapshot::MayUse(const RouteConfig& route,
                            const std::string& workspace) {
  return route.workspaces.empty() ||
         std::find(route.workspaces.begin(), route.workspaces.end(),
                   workspace) != route.workspaces.end();
}

}  // namespace carawayrelay
