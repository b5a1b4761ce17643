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
    const auto agents = by_route_.find(route);
    if (agents != by_route_.end()) {
      std::erase(agents->second, connection);
      if (agents->second.empty()) {
        by_route_.erase(agents);
      }
    }
  }
  views_.erase(it);
}

std::span<const ConnectionId> BackendTable::AgentsFor(
    const std::string& route) const {
  const auto it = by_route_.find(route);
  return it == by_route_.end() ? std::span<const ConnectionId>() : it->second;
}

bool BackendTable::HasAvailable(const std::string& route,
                                const ConfigSnapshot& config,
                                TimePoint now) const {
  const auto agents = AgentsFor(route);
  return std::any_of(agents.begin(), agents.end(), [&](ConnectionId id) {
    return IsAvailable(views_.at(id), config, now);
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
  std::vector<ConnectionId> available;
  for (const ConnectionId id : AgentsFor(route)) {
    if (IsAvailable(views_.at(id), config, now)) {
      available.push_back(id);
    }
  }
  if (!std::all_of(available.begin(), available.end(), was_tried)) {
    std::erase_if(available, was_tried);
  }
  std::vector<BackendCandidate> candidates;
  candidates.reserve(available.size());
  for (const ConnectionId id : available) {
    const BackendView& view = views_.at(id);
    candidates.push_back({.id = view.node_hash(),
                          .window = view.window(),
                          .in_use = view.in_use()});
  }
  const auto chosen = ChooseBackend(policy_, candidates, prefix_hash, rng);
  return chosen ? Find(available[*chosen]) : nullptr;
}

bool BackendTable::IsAvailable(const BackendView& view,
                               const ConfigSnapshot& config,
                               TimePoint now) {
  return view.CanTake(now) && !config.IsZoneOut(view.zone());
}

}  // namespace carawayrelay
