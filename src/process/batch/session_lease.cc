#include "process/batch/session_lease.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

// Observations of sessions that were not read for this many lease times are
// dropped.
constexpr int kObservationRetentionLeaseTimes = 20;
constexpr std::chrono::milliseconds kRetryDelay{200};

}  // namespace

std::string ToJson(const SessionRecord& record) {
  return json{{"session", record.session},
              {"renewals", record.renewals},
              {"lapsed", record.lapsed}}
      .dump();
}

Result<SessionRecord> ParseSessionRecord(const std::string& text) {
  try {
    const json row = json::parse(text);
    SessionRecord record;
    row.at("session").get_to(record.session);
    row.at("renewals").get_to(record.renewals);
    row.at("lapsed").get_to(record.lapsed);
    return record;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInternal,
                 std::string("invalid session row: ") + e.what()};
  }
}

std::string NodeOfSession(const std::string& session) {
  return session.substr(0, session.rfind(':'));
}

SessionLease::SessionLease(std::string session, Options options)
    : session_(std::move(session)), options_(options) {
  assert(options_.renew_interval + options_.margin < options_.lease_time);
}

SessionRecord SessionLease::NextRecord() const {
  return {.session = session_, .renewals = renewals_ + 1};
}

void SessionLease::OnRenewed(TimePoint started) {
  assert(!is_lost_);
  ++renewals_;
  has_started_ = true;
  // Counted from the start of the renewal, because an observer may have read
  // the new value at any time after it.
  held_until_ = started + options_.lease_time - options_.margin;
  next_renewal_ = started + options_.renew_interval;
}

void SessionLease::OnRenewalFailed(TimePoint now) {
  // The failed renewal may have been written, so the next one must write
  // another value: otherwise an observer would not see it as a renewal.
  ++renewals_;
  next_renewal_ = now + kRetryDelay;
}

void SessionLease::OnLost() {
  is_lost_ = true;
  held_until_ = TimePoint{};
}

SessionObserver::Liveness SessionObserver::Observe(
    const std::string& session,
    const std::optional<SessionRecord>& row,
    TimePoint before,
    TimePoint after) {
  std::erase_if(observations_, [&](const auto& entry) {
    return after - entry.second.last_seen >
           lease_time_ * kObservationRetentionLeaseTimes;
  });
  if (!row || row->session != session || row->lapsed) {
    observations_.erase(session);
    return Liveness::kLapsed;
  }
  const auto [it, is_new] = observations_.try_emplace(
      session, Observation{row->renewals, after, after});
  Observation& observation = it->second;
  if (observation.renewals != row->renewals) {
    observation = {row->renewals, after, after};
  }
  observation.last_seen = after;
  return before - observation.first_seen >= lease_time_ ? Liveness::kExpired
                                                        : Liveness::kLive;
}

}  // namespace carawayrelay
