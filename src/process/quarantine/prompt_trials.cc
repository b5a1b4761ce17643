#include "process/quarantine/prompt_trials.h"

#include <algorithm>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// How often a write is repeated after another process has changed the row.
constexpr int kMaxWrites = 4;
constexpr milliseconds kAskPause{1000};

// The row has a part of its own, because the store limits the writes to one
// part.
RowKey RecordKey() {
  return {.table = "prompt_trials", .part = "trials", .key = "all"};
}

PromptParts PartsOf(const PromptQuarantine::Match& match) {
  return {match.together.begin(), match.together.end()};
}

}  // namespace

PromptTrials::PromptTrials(std::string node,
                           const PromptQuarantine& quarantine,
                           StoreClient& store,
                           const EventLoopClock& clock)
    : node_(std::move(node)),
      quarantine_(quarantine),
      store_(store),
      clock_(clock) {}

std::optional<TimePoint> PromptTrials::NextTrial(
    const PromptQuarantine::Match& match,
    TimePoint now) const {
  const milliseconds store_now = store_.StoreTime(now);
  std::vector<milliseconds> crashes;
  for (const TimePoint crash : match.crashes) {
    crashes.push_back(store_now -
                      std::chrono::duration_cast<milliseconds>(now - crash));
  }
  const std::optional<milliseconds> next =
      NextTrialAt(crashes, record_.TimesOf(PartsOf(match)));
  return next ? std::optional(now + (*next - store_now)) : std::nullopt;
}

PromptTrials::Verdict PromptTrials::Admit(const PromptParts& parts,
                                          TimePoint now) const {
  const std::optional<PromptQuarantine::Match> match = quarantine_.Find(parts);
  if (!match) {
    return Admitted{};
  }
  const std::optional<TimePoint> next = NextTrial(*match, now);
  TimePoint retry_at = std::min(next.value_or(match->until), match->until);
  for (const std::string& part : match->together) {
    if (asking_.contains(part)) {
      retry_at = std::max(retry_at, now + kAskPause);
    }
    const auto postponed = postponed_.find(part);
    if (postponed != postponed_.end()) {
      retry_at = std::max(retry_at, postponed->second);
    }
  }
  if (!next || now < retry_at) {
    return Refused{.part = match->part, .retry_at = retry_at};
  }
  return TrialDue{};
}

void PromptTrials::Ask(const PromptParts& parts, Callback callback) {
  AskState ask{.parts = parts, .callback = std::move(callback)};
  if (const auto match = quarantine_.Find(parts)) {
    ask.tried = PartsOf(*match);
  }
  asking_.insert(ask.tried.begin(), ask.tried.end());
  WriteGrant(std::move(ask));
}

void PromptTrials::WriteGrant(AskState ask) {
  const milliseconds store_now = store_.StoreTime(clock_.now());
  TrialRecord record = record_;
  record.Prune(store_now);
  record.grants.push_back({.parts = ask.tried, .node = node_, .at = store_now});
  ++ask.writes;
  Write(record, [this, record,
                 ask = std::move(ask)](const StoreResponse& response) mutable {
    OnGrantWritten(std::move(ask), record, response);
  });
}

void PromptTrials::OnGrantWritten(AskState ask,
                                  const TrialRecord& written,
                                  const StoreResponse& response) {
  const TimePoint now = clock_.now();
  if (response.status == StoreStatus::kDone) {
    record_ = written;
    record_version_ = response.version;
    for (const std::string& part : ask.tried) {
      asking_.erase(part);
    }
    LogDecision(LogEvent::kPromptTried, "parts", JoinIds(ask.tried), "grants",
                record_.TimesOf(ask.tried).size());
    ask.callback(written.grants.back());
    return;
  }
  if (response.status != StoreStatus::kConditionFailed) {
    // The store also rejects a record that has outgrown a row; grants expire.
    LogDecision(LogEvent::kPromptTrialDelayed, "parts", JoinIds(ask.tried),
                "reason", response.reason);
    EndAsk(ask, now);
    return;
  }
  ApplyCurrentRow(response);
  const auto match = quarantine_.Find(ask.parts);
  const std::optional<TimePoint> next =
      match ? NextTrial(*match, now) : std::nullopt;
  if (next && now >= *next && ask.writes < kMaxWrites) {
    WriteGrant(std::move(ask));
    return;
  }
  EndAsk(ask, now);
}

void PromptTrials::EndAsk(const AskState& ask, TimePoint now) {
  for (const std::string& part : ask.tried) {
    asking_.erase(part);
  }
  Postpone(ask.tried, now);
  const Verdict verdict = Admit(ask.parts, now);
  const auto* refused = std::get_if<Refused>(&verdict);
  ask.callback(refused != nullptr ? Answer(*refused) : Answer(Admitted{}));
}

void PromptTrials::Postpone(const PromptParts& parts, TimePoint now) {
  std::erase_if(postponed_,
                [now](const auto& item) { return now >= item.second; });
  for (const std::string& part : parts) {
    postponed_[part] = now + kAskPause;
  }
}

void PromptTrials::Return(const TrialGrant& grant) {
  Postpone(grant.parts, clock_.now());
  WriteReturn(grant, /*writes=*/0);
}

void PromptTrials::WriteReturn(TrialGrant grant, int writes) {
  TrialRecord record = record_;
  if (std::erase(record.grants, grant) == 0 || writes >= kMaxWrites) {
    return;
  }
  Write(record, [this, record, grant = std::move(grant),
                 writes](const StoreResponse& response) {
    if (response.status == StoreStatus::kDone) {
      record_ = record;
      record_version_ = response.version;
    } else if (response.status == StoreStatus::kConditionFailed) {
      ApplyCurrentRow(response);
      WriteReturn(grant, writes + 1);
    }
    // Otherwise the grant counts as used, which delays the next trial.
  });
}

void PromptTrials::Write(const TrialRecord& record, StoreCallback callback) {
  RowsTransaction transaction;
  transaction.expected.push_back(
      {.key = RecordKey(), .version = record_version_});
  transaction.writes.push_back(
      {.key = RecordKey(), .value = EncodeTrialRecord(record)});
  store_.Send(std::move(transaction), std::move(callback));
}

void PromptTrials::ApplyCurrentRow(const StoreResponse& response) {
  record_ = TrialRecord();
  record_version_ = 0;
  for (const StoredRow& row : response.rows) {
    if (row.key != RecordKey() || row.is_removed) {
      continue;
    }
    record_version_ = row.version;
    Result<TrialRecord> record = DecodeTrialRecord(row.value);
    if (record) {
      record_ = std::move(record).value();
    } else if (row.version > 0) {
      LogDecision(LogEvent::kTrialRecordUnreadable, "version", row.version,
                  "reason", record.error().message);
    }
  }
}

}  // namespace carawayrelay
