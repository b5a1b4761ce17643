#include "process/dispatch/backend_table.h"

#include <algorithm>

namespace carawayrelay {

BackendView& BackendTable::Add(ConnectionId connection, const Hello& hello) {
  for (const std::string& route : hello.routes) {
    by_route_[route].push_back(connection);
  }
  return views_.try_emplace(connection, connection, hello).first->second;
}

BackendView* BackendTable::Find(ConnectionId connection) {
  const auto it = views_.find(connection);
  return it == views_.end() ? nullptr : &it->second;
}

void BackendTable::Erase(ConnectionId connection) {
  const auto it = views_.find(connection);
  if (it == views_.end()) {
    return;
  }
  for (const std::string& route : it->second.routes()) {
    const auto servers = by_route_.find(route);
    if (servers != by_route_.end()) {
      std::erase(servers->second, connection);
      if (servers->second.empty()) {
        by_route_.erase(servers);
      }
    }
  }
  views_.erase(it);
}

std::span<const ConnectionId> BackendTable::ServersOf(
    const std::string& route) const {
  const auto it = by_route_.find(route);
  return it == by_route_.end() ? std::span<const ConnectionId>() : it->second;
}

bool BackendTable::HasFree(const std::string& route,
                           const ConfigSnapshot& config,
                           TimePoint now) const {
  const auto servers = ServersOf(route);
  return std::any_of(servers.begin(), servers.end(), [&](ConnectionId id) {
    return IsFree(views_.at(id), config, now);
  });
}

BackendView* BackendTable::Choose(const std::string& route,
                                  const ConfigSnapshot& config,
                                  std::span<const ConnectionId> tried,
                                  std::uint64_t prefix_hash,
                                  TimePoint now,
                                  std::mt19937_64& rng) {
  const auto was_tried = [&](ConnectionId id) {
    return std::find(tried.begin(), tried.end(), id) != tried.end();
  };
  std::vector<ConnectionId> free;
  for (const ConnectionId id : ServersOf(route)) {
    if (IsFree(views_.at(id), config, now)) {
      free.push_back(id);
    }
  }
  if (!std::all_of(free.begin(), free.end(), was_tried)) {
    std::erase_if(free, was_tried);
  }
  std::vector<BackendCandidate> candidates;
  candidates.reserve(free.size());
  for (const ConnectionId id : free) {
    const BackendView& view = views_.at(id);
    candidates.push_back({.id = view.node_hash(),
                          .window = view.window(),
                          .in_use = view.in_use()});
  }
  const auto chosen = ChooseBackend(policy_, candidates, prefix_hash, rng);
  return chosen ? Find(free[*chosen]) : nullptr;
}

bool BackendTable::IsFree(const BackendView& view,
                          const ConfigSnapshot& config,
                          TimePoint now) {
  return view.CanTake(now) && !config.IsZoneOut(view.zone());
}

}  // namespace carawayrelay
