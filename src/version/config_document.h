#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "version/findings.h"

namespace carawayrelay {

// A workspace and its limits, which apply to all entry VMs together.
struct WorkspaceConfig {
  std::string name;
  double rate_per_second = 0;  // requests
  double burst = 0;            // requests
  double weight = 1;           // relative share when capacity is scarce
};

// A client's key. The configuration contains only the salted hash of the
// secret.
struct KeyConfig {
  std::string id;
  std::string workspace;
  std::string salt;
  std::string hash;  // hex SHA-256 of salt followed by the secret
};

enum class RouteKind { kModel, kService };

// A route that clients address by its name, as a model name or in the path
// /services/<name>/.
struct RouteConfig {
  std::string name;
  RouteKind kind = RouteKind::kModel;
  // True when requests need no key; they then run for no workspace.
  bool open = false;
  // False when a call must run at most once.
  bool repeatable = true;
  // Workspaces that may use the route; empty allows all.
  std::vector<std::string> workspaces;
};

// The complete configuration that operators apply.
struct ConfigDocument {
  std::vector<WorkspaceConfig> workspaces;
  std::vector<KeyConfig> keys;
  std::vector<RouteConfig> routes;
  std::vector<std::string> zones_out;
};

// Serializes the document as JSON with sorted keys, so that equal documents
// have the same text and hash.
std::string ToJson(const ConfigDocument& document);

// Parses and validates a document. Appends each problem with its JSON path to
// `findings`, and returns nothing when `findings` is not empty afterwards.
std::optional<ConfigDocument> ParseConfigDocument(const std::string& json,
                                                  Findings& findings);

}  // namespace carawayrelay
