#include "process/store/table_watch.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kFirstRetryDelay{50};
constexpr int kMaxDoublings = 2;
// A call without a response within this time counts as lost. Every third
// attempt after a failure waits longer, so that a slow store can still be
// followed.
constexpr std::chrono::milliseconds kShortTimeout{500};
constexpr std::chrono::milliseconds kLongTimeout{2000};
// A read of the whole table that takes longer starts again, because its first
// rows are old by then.
constexpr std::chrono::milliseconds kMaxReadTime{5000};

}  // namespace

TableWatch::TableWatch(Options options,
                       StoreSender store,
                       const EventLoopClock& clock,
                       OnRows on_rows)
    : options_(std::move(options)),
      store_(std::move(store)),
      clock_(clock),
      on_rows_(std::move(on_rows)) {}

void TableWatch::Tick(TimePoint now) {
  if (is_running_ || now < next_call_) {
    return;
  }
  next_call_ = now + options_.min_interval;
  if (is_synced_) {
    Watch(now);
    return;
  }
  if (!is_reading_ || now - read_started_at_ >= kMaxReadTime) {
    is_reading_ = true;
    part_ = 0;
    from_.clear();
    rows_.clear();
    read_version_ = 0;
    read_started_at_ = now;
  }
  // A read that failed goes on behind the rows that it has: the watch that
  // follows it returns what has changed since its first call.
  ReadNextPart(now);
}

void TableWatch::ReadNextPart(TimePoint now) {
  is_running_ = true;
  store_(RowsRead{.table = options_.table,
                  .part = options_.parts[part_],
                  .from = from_,
                  .timeout = CallTimeout()},
         [this, now](StoreResponse response) {
           OnRead(std::move(response), now);
         });
}

void TableWatch::OnRead(StoreResponse response, TimePoint) {
  const TimePoint now = clock_.now();
  if (response.status != StoreStatus::kDone) {
    RecordFailure(now);
    return;
  }
  // The first watch starts at the lowest version of these reads, so that it
  // returns all changes made in between.
  read_version_ = read_version_ == 0
                      ? response.version
                      : std::min(read_version_, response.version);
  const bool has_more = response.has_more && !response.rows.empty();
  std::move(response.rows.begin(), response.rows.end(),
            std::back_inserter(rows_));
  if (has_more) {
    // The least key that is greater than the last one.
    from_ = rows_.back().key.key + '\0';
  } else {
    from_.clear();
    ++part_;
  }
  if (part_ < options_.parts.size()) {
    ReadNextPart(now);
    return;
  }
  is_running_ = false;
  is_reading_ = false;
  is_synced_ = true;
  version_ = read_version_;
  RecordSuccess(read_started_at_, now);
  on_rows_(std::exchange(rows_, {}), /*is_full=*/true, now);
}

void TableWatch::Watch(TimePoint now) {
  is_running_ = true;
  store_(
      RowsWatch{.table = options_.table,
                .after = version_,
                .wait = consecutive_failures_ > 0 ? std::chrono::milliseconds(0)
                                                  : options_.wait,
                .timeout = CallTimeout()},
      [this, now](const StoreResponse& response) { OnChanges(response, now); });
}

void TableWatch::OnChanges(const StoreResponse& response, TimePoint sent_at) {
  const TimePoint now = clock_.now();
  if (response.status == StoreStatus::kHistoryLost) {
    is_running_ = false;
    is_synced_ = false;
    next_call_ = now;
    return;
  }
  if (response.status != StoreStatus::kDone) {
    RecordFailure(now);
    return;
  }
  is_running_ = false;
  version_ = std::max(version_, response.version);
  RecordSuccess(sent_at, now);
  if (!response.rows.empty()) {
    on_rows_(response.rows, /*is_full=*/false, now);
  }
}

std::chrono::milliseconds TableWatch::CallTimeout() const {
  return consecutive_failures_ % 3 == 2 ? kLongTimeout : kShortTimeout;
}

void TableWatch::RecordSuccess(TimePoint sent_at, TimePoint now) {
  if (consecutive_failures_ > 0) {
    reconnected_at_ = now;
  }
  consecutive_failures_ = 0;
  up_to_date_at_ = sent_at;
}

void TableWatch::RecordFailure(TimePoint now) {
  is_running_ = false;
  next_call_ = now + kFirstRetryDelay *
                         (1 << std::min(consecutive_failures_, kMaxDoublings));
  ++consecutive_failures_;
}

}  // namespace carawayrelay
