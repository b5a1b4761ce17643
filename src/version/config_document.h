#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "version/findings.h"

namespace carawayrelay {

// One tenant and its limits, counted over all entry VMs together.
struct WorkspaceConfig {
  std::string name;
  double rate_per_second = 0;  // requests
  double burst = 0;            // requests
  double weight = 1;           // relative share when capacity is short
};

// Key of a caller. Only the salted hash of the secret is kept.
struct KeyConfig {
  std::string id;
  std::string workspace;
  std::string salt;
  std::string hash;  // hex SHA-256 of salt followed by the secret
};

enum class RouteKind { kModel, kService };

// Name that callers use, as a model name or in /services/<name>/.
struct RouteConfig {
  std::string name;
  RouteKind kind = RouteKind::kModel;
  // Open routes need no key; their requests run for no workspace.
  bool open = false;
  // False when a call must run at most once.
  bool repeatable = true;
  // Workspaces that may use the route; empty means all.
  std::vector<std::string> workspaces;
};

// The whole configuration that operators apply.
struct ConfigDocument {
  std::vector<WorkspaceConfig> workspaces;
  std::vector<KeyConfig> keys;
  std::vector<RouteConfig> routes;
  std::vector<std::string> zones_out;
};

// Serialises the document as JSON with sorted keys, so that equal documents
// have equal text and hash.
std::string ToJson(const ConfigDocument& document);

// Parses and checks a document. Appends every problem with its JSON path to
// `findings` and returns nothing when there is at least one.
std::optional<ConfigDocument> ParseConfigDocument(const std::string& json,
                                                  Findings& findings);

}  // namespace carawayrelay
