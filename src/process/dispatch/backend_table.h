#pragma once

#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// The agents connected to an entry, and the selection of an agent for a
// request.
class BackendTable {
 public:
  explicit BackendTable(ChoicePolicy policy) : policy_(policy) {}

  BackendView& Add(ConnectionId connection, const Hello& hello);
  BackendView* Find(ConnectionId connection);
  void Erase(ConnectionId connection);
  std::map<ConnectionId, BackendView>& views() { return views_; }

  // Connections of all agents that serve the route, with or without free slots.
  std::span<const ConnectionId> AgentsFor(const std::string& route) const;
  // Returns whether an agent can accept a request for the route now.
  bool HasAvailable(const std::string& route,
                    const ConfigSnapshot& config,
                    TimePoint now) const;
  // Selects one of the agents that can accept a request now, and prefers those
  // that are not in `tried`. Returns nullptr when no agent is available.
  BackendView* Choose(const std::string& route,
                      const ConfigSnapshot& config,
                      std::span<const ConnectionId> tried,
                      std::uint64_t prefix_hash,
                      TimePoint now,
                      std::mt19937_64& rng);

 private:
  static bool IsAvailable(const BackendView& view,
                          const ConfigSnapshot& config,
                          TimePoint now);

  ChoicePolicy policy_;
  std::map<ConnectionId, BackendView> views_;
  std::map<std::string, std::vector<ConnectionId>> by_route_;
};

}  // namespace carawayrelay
