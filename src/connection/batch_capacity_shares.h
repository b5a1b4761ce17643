#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Shares the free room of an agent between the batch connections of its
// entries and counts what was offered to each and not yet used.
//
// Room goes to the connections that use their offers. One that leaves its offer
// unused counts as idle and keeps an offer of one item outside of the shares,
// so that it can show that it has work again; a start that finds no room is
// refused with `not_run`.
class BatchCapacityShares {
 public:
  // Several round trips between zones; a shorter time would take the room from
  // entries that have work.
  static constexpr std::chrono::milliseconds kIdleTimeout{250};
  // Least time between messages that only lower or rebalance offers.
  static constexpr std::chrono::milliseconds kRebalanceInterval{100};

  struct Offer {
    ConnectionId connection{0};
    int items = 0;
  };

  void Add(ConnectionId connection, TimePoint now);
  void Remove(ConnectionId connection);
  // Counts one item that the connection submitted.
  void OnSubmit(ConnectionId connection, TimePoint now);
  // Returns the offers that changed and are to be sent now.
  std::vector<Offer> Rebalance(int capacity, TimePoint now);

  // Sum of the offers to connections that are not idle.
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
