#include "version/serving_config.h"

#include <utility>

namespace carawayrelay {

ServingConfig::ServingConfig(Parts parts) : parts_(std::move(parts)) {
  for (size_t i = 0; i < parts_.workspaces.size(); ++i) {
    workspace_of_name_[parts_.workspaces[i].name] = i;
    for (const std::string& key : parts_.workspaces[i].keys) {
      workspace_of_key_[key] = i;
    }
  }
}

const ServingRoute* ServingConfig::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const ServingRoute* best = nullptr;
  for (const ServingRoute& route : parts_.routes) {
    if (route.host == host && path.starts_with(route.prefix) &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const ServingRoute* ServingConfig::FindBulkRoute(std::string_view host) const {
  for (const ServingRoute& route : parts_.routes) {
    if (route.host == host && route.call_class == CallClass::kBulk) {
      return &route;
    }
  }
  return nullptr;
}

const ServingRoute* ServingConfig::FindRouteByName(
    const std::string& name) const {
  for (const ServingRoute& route : parts_.routes) {
    if (route.name == name) {
      return &route;
    }
  }
  return nullptr;
}

const ServingWorkspace* ServingConfig::FindWorkspaceByKey(
    const std::string& key) const {
  const auto it = workspace_of_key_.find(key);
  return it == workspace_of_key_.end() ? nullptr
                                       : &parts_.workspaces[it->second];
}

const ServingWorkspace* ServingConfig::FindWorkspace(
    const std::string& name) const {
  const auto it = workspace_of_name_.find(name);
  return it == workspace_of_name_.end() ? nullptr
                                        : &parts_.workspaces[it->second];
}

const ServingService* ServingConfig::FindService(
    const std::string& name) const {
  for (const ServingService& service : parts_.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace carawayrelay
