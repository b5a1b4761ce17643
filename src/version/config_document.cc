#include "version/config_document.h"

#include <nlohmann/json.hpp>
#include <set>

#include "version/json_reader.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr double kMaxRate = 1e6;
constexpr double kMaxWeight = 1000;
constexpr size_t kHashHexDigits = 64;

using Names = std::set<std::string>;

// Adds a name to `names`, or adds a finding when it is there already.
void CheckUniqueName(Names& names,
                     const std::string& name,
                     const std::string& path,
                     Findings& findings) {
  if (!name.empty() && !names.insert(name).second) {
    findings.Add(path, "duplicate name '" + name + "'");
  }
}

void CheckReference(const Names& names,
                    const std::string& name,
                    const std::string& path,
                    Findings& findings) {
  if (!name.empty() && !names.contains(name)) {
    findings.Add(path, "unknown workspace '" + name + "'");
  }
}

void ReadWorkspaces(JsonReader& root,
                    ConfigDocument& document,
                    Names& workspaces,
                    Findings& findings) {
  root.ForEach("workspaces", [&](const json& item, const std::string& path) {
    JsonReader reader(item, path, findings);
    WorkspaceConfig workspace;
    workspace.name = reader.RequiredString("name");
    workspace.rate_per_second =
        reader.RequiredNumber("rate_per_second", 0, kMaxRate);
    workspace.burst = reader.RequiredNumber("burst", 1, kMaxRate);
    workspace.weight = reader.OptionalNumber("weight", 0.001, kMaxWeight, 1);
    reader.CheckUnknownFields();
    CheckUniqueName(workspaces, workspace.name, reader.PathOf("name"),
                    findings);
    document.workspaces.push_back(std::move(workspace));
  });
}

void ReadKeys(JsonReader& root,
              ConfigDocument& document,
              const Names& workspaces,
              Findings& findings) {
  Names ids;
  root.ForEach("keys", [&](const json& item, const std::string& path) {
    JsonReader reader(item, path, findings);
    KeyConfig key;
    key.id = reader.RequiredString("id");
    key.workspace = reader.RequiredString("workspace");
    key.salt = reader.RequiredString("salt");
    key.hash = reader.RequiredString("hash");
    reader.CheckUnknownFields();
    CheckUniqueName(ids, key.id, reader.PathOf("id"), findings);
    CheckReference(workspaces, key.workspace, reader.PathOf("workspace"),
                   findings);
    if (!key.hash.empty() &&
        (key.hash.size() != kHashHexDigits ||
         key.hash.find_first_not_of("0123456789abcdef") != std::string::npos)) {
      findings.Add(reader.PathOf("hash"),
                   "must be 64 lower-case hexadecimal digits");
    }
    document.keys.push_back(std::move(key));
  });
}

void ReadRoutes(JsonReader& root,
                ConfigDocument& document,
                const Names& workspaces,
                Findings& findings) {
  Names names;
  root.ForEach("routes", [&](const json& item, const std::string& path) {
    JsonReader reader(item, path, findings);
    RouteConfig route;
    route.name = reader.RequiredString("name");
    route.kind = reader.OptionalChoice("kind", {"model", "service"}, 0) == 0
                     ? RouteKind::kModel
                     : RouteKind::kService;
    route.open = reader.OptionalBool("open", false);
    route.repeatable = reader.OptionalBool("repeatable", true);
    route.workspaces = reader.StringList("workspaces");
    reader.CheckUnknownFields();
    CheckUniqueName(names, route.name, reader.PathOf("name"), findings);
    for (size_t i = 0; i < route.workspaces.size(); ++i) {
      CheckReference(workspaces, route.workspaces[i],
                     reader.PathOf("workspaces") + "/" + std::to_string(i),
                     findings);
    }
    document.routes.push_back(std::move(route));
  });
}

}  // namespace

std::string ToJson(const ConfigDocument& document) {
  json root = {{"workspaces", json::array()},
               {"keys", json::array()},
               {"routes", json::array()},
               {"zones_out", document.zones_out}};
  for (const WorkspaceConfig& w : document.workspaces) {
    root["workspaces"].push_back({{"name", w.name},
                                  {"rate_per_second", w.rate_per_second},
                                  {"burst", w.burst},
                                  {"weight", w.weight}});
  }
  for (const KeyConfig& k : document.keys) {
    root["keys"].push_back({{"id", k.id},
                            {"workspace", k.workspace},
                            {"salt", k.salt},
                            {"hash", k.hash}});
  }
  for (const RouteConfig& r : document.routes) {
    root["routes"].push_back(
        {{"name", r.name},
         {"kind", r.kind == RouteKind::kModel ? "model" : "service"},
         {"open", r.open},
         {"repeatable", r.repeatable},
         {"workspaces", r.workspaces}});
  }
  return root.dump(2);
}

std::optional<ConfigDocument> ParseConfigDocument(const std::string& text,
                                                  Findings& findings) {
  const json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    findings.Add("", "not valid JSON");
    return std::nullopt;
  }
  ConfigDocument document;
  JsonReader root(parsed, "", findings);
  Names workspaces;
  ReadWorkspaces(root, document, workspaces, findings);
  ReadKeys(root, document, workspaces, findings);
  ReadRoutes(root, document, workspaces, findings);
  document.zones_out = root.StringList("zones_out");
  root.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return document;
}

}  // namespace carawayrelay
