#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Row value of a session. The row key is the node, so a process that starts on
// a node replaces the row and thereby ends the session of its predecessor.
struct SessionRecord {
  std::string session;
  std::uint64_t renewals = 0;
  // Set by an observer after the lease time, or by the owner when it stops.
  // Other entries may then claim the session's chunks.
  bool lapsed = false;
};

std::string ToJson(const SessionRecord& record);
// Fails with kInternal when `text` is not a valid session row.
Result<SessionRecord> ParseSessionRecord(const std::string& text);

// Returns the node of a session name "<node>:<random>". The random part differs
// for each session.
std::string NodeOfSession(const std::string& session);

// The session of this process. A session is held, suspended or lost. It is
// suspended when its lease time has passed without a renewal and the owner has
// not yet read whether an observer marked it lapsed. The owner may act for the
// session only while it is held.
class SessionLease {
 public:
  struct Options {
    std::chrono::milliseconds lease_time{5000};
    std::chrono::milliseconds renew_interval{1500};
    // The owner stops this long before the lease time ends, because clocks of
    // VMs run at different rates.
    std::chrono::milliseconds margin{250};
  };

  SessionLease(std::string session, Options options);

  const std::string& session() const { return session_; }
  // End of the time during which the owner may act for the session.
  TimePoint held_until() const { return held_until_; }
  bool IsHeld(TimePoint now) const { return now < held_until_; }
  bool is_lost() const { return is_lost_; }
  // True after the first successful renewal.
  bool has_started() const { return has_started_; }
  TimePoint next_renewal() const { return next_renewal_; }

  // Returns the row value that the next renewal writes.
  SessionRecord NextRecord() const;
  // Records the success of a renewal that began at `started`.
  void OnRenewed(TimePoint started);
  // Records a failed renewal, which may or may not have changed the row.
  void OnRenewalFailed(TimePoint now);
  // Records that the row is missing, names another session or is marked lapsed.
  void OnLost();

 private:
  std::string session_;
  Options options_;
  std::uint64_t renewals_ = 0;
  TimePoint held_until_;
  TimePoint next_renewal_;
  bool has_started_ = false;
  bool is_lost_ = false;
};

// Observes the sessions of other entries. Measures time by the clock of this
// process only, because clocks of VMs differ.
class SessionObserver {
 public:
  explicit SessionObserver(std::chrono::milliseconds lease_time)
      : lease_time_(lease_time) {}

  enum class Liveness {
    kLive,
    // Not renewed for the lease time: may be marked lapsed by compare-and-set
    // on the row that was read.
    kExpired,
    // Replaced, removed or marked lapsed: its chunks may be claimed.
    kLapsed,
  };

  // Returns the state of `session` according to the row of its node, which was
  // read between `before` and `after`. A new value counts as written at
  // `after`, so that a slow read never makes a session look older than it is.
  Liveness Observe(const std::string& session,
                   const std::optional<SessionRecord>& row,
                   TimePoint before,
                   TimePoint after);

 private:
  struct Observation {
    std::uint64_t renewals = 0;
    TimePoint first_seen;
    TimePoint last_seen;
  };

  std::chrono::milliseconds lease_time_;
  std::map<std::string, Observation> observations_;
};

}  // namespace carawayrelay
