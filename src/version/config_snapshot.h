#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "carawayrelay/request.h"
#include "version/config_document.h"

namespace carawayrelay {

// One version of the configuration, immutable and indexed for lookups. Threads
// share it as std::shared_ptr<const ConfigSnapshot>.
class ConfigSnapshot {
 public:
  // Parses and validates `json`. Fails with kInvalid and a message that lists
  // all findings.
  static Result<std::shared_ptr<const ConfigSnapshot>> Make(
      ConfigVersion version,
      std::string json);

  ConfigVersion version() const { return version_; }
  // SHA-256 of the JSON text.
  const std::string& content_hash() const { return content_hash_; }
  const std::string& json() const { return json_; }
  const ConfigDocument& document() const { return document_; }

  // Returns the key whose id and secret match a bearer token of the form
  // "cr_<id>_<secret>", or nullptr. The secret contains no underscore.
  const KeyConfig* Authenticate(std::string_view bearer_token) const;
  const KeyConfig* FindKey(const std::string& id) const;
  const RouteConfig* FindRoute(const std::string& name) const;
  const WorkspaceConfig* FindWorkspace(const std::string& name) const;
  // True when the route allows all workspaces or lists this one.
  static bool MayUse(const RouteConfig& route, const std::string& workspace);
  bool IsZoneOut(const std::string& zone) const {
    return zones_out_.contains(zone);
  }

 private:
  ConfigSnapshot(ConfigVersion version,
                 std::string json,
                 ConfigDocument document);

  ConfigVersion version_;
  std::string json_;
  std::string content_hash_;
  ConfigDocument document_;
  std::unordered_map<std::string, size_t> keys_;
  std::unordered_map<std::string, size_t> routes_;
  std::unordered_map<std::string, size_t> workspaces_;
  std::unordered_set<std::string> zones_out_;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace carawayrelay
