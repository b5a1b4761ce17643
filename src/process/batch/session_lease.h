#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Row value of a session; the row key is the node. A process that starts on a
// node replaces the row, which ends the session of its predecessor.
struct SessionRecord {
  std::string session;
  std::uint64_t renewals = 0;
  bool lapsed = false;
};

std::string ToJson(const SessionRecord& record);
// Fails with kInternal when the row is damaged.
Result<SessionRecord> ParseSessionRecord(const std::string& text);

// A session is named "<node>:<random>"; the random part differs for each start.
std::string NodeOfSession(const std::string& session);

// The session of this process. A session has three states: held, suspended
// (its lease time passed without a renewal, but no observer marked it lapsed as
// far as known) and lost. Its owner may act only while it is held.
class SessionLease {
 public:
  struct Options {
    std::chrono::milliseconds lease_time{5000};
    std::chrono::milliseconds renew_interval{1500};
    // Allows for clocks that run at different rates.
    std::chrono::milliseconds margin{250};
  };

  SessionLease(std::string session, Options options);

  const std::string& session() const { return session_; }
  // End of the time during which the owner may act.
  TimePoint held_until() const { return held_until_; }
  bool IsHeld(TimePoint now) const { return now < held_until_; }
  bool is_lost() const { return is_lost_; }
  // True once a renewal took effect.
  bool has_started() const { return has_started_; }
  TimePoint next_renewal() const { return next_renewal_; }

  // The row value of the next renewal.
  SessionRecord NextRecord() const;
  // A renewal that began at `started` took effect.
  void OnRenewed(TimePoint started);
  // A renewal failed, with or without an effect on the row.
  void OnRenewalFailed(TimePoint now);
  // The row names another session or is marked lapsed.
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

// Watches the sessions of other entries by the clock of this process, because
// clocks of VMs differ.
class SessionObserver {
 public:
  explicit SessionObserver(std::chrono::milliseconds lease_time)
      : lease_time_(lease_time) {}

  enum class Liveness {
    kLive,
    kExpired,  // may be marked lapsed by compare-and-set
    kLapsed,   // its chunks may be claimed
  };

  // Judges `session` by the row of its node, which was read between `before`
  // and `after`. A new value counts as written at `after`, so a slow read never
  // makes a session look older than it is.
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
