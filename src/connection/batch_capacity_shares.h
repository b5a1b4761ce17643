#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Divides the free batch capacity of an agent among the batch connections of
// its entries and tracks the unused offer of each connection.
//
// Capacity is offered to the connections that use their offers. A connection
// that leaves its offer unused counts as idle. It keeps an offer of one item in
// addition to the shares, so that it can become active by submitting an item.
// This may exceed the capacity; the agent then refuses the item with `not_run`.
class BatchCapacityShares {
 public:
  // A connection that leaves its offer unused for longer is idle. This is
  // several round trips between zones; a shorter time would take capacity away
  // from entries that have work.
  static constexpr std::chrono::milliseconds kIdleTimeout{250};
  // Minimum time between messages that only lower or rebalance offers.
  static constexpr std::chrono::milliseconds kRebalanceInterval{100};

  struct Offer {
    ConnectionId connection{0};
    int items = 0;
  };

  void Add(ConnectionId connection, TimePoint now);
  void Remove(ConnectionId connection);
  // Records that the connection submitted one item.
  void OnSubmit(ConnectionId connection, TimePoint now);
  // Divides `capacity` (batch items) and returns the changed offers, which the
  // caller sends.
  std::vector<Offer> Rebalance(int capacity, TimePoint now);

  // Returns the sum of the offers to connections that are not idle.
  int offered() const;

 private:
  struct Member {
    int offered = 0;
    bool is_idle = false;
    TimePoint last_submit;
    TimePoint unused_since;
    TimePoint last_sent;
  };

  void MarkIdle(TimePoint now);
  std::map<ConnectionId, int> Targets(int capacity) const;

  std::map<ConnectionId, Member> members_;
};

}  // namespace carawayrelay
