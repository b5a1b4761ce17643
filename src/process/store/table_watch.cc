#include "process/store/table_watch.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {
namespace {

constexpr std::chrono::milliseconds kFirstRetry{50};
constexpr int kMaxDoublings = 2;
// A call that is answered later counts as lost. Every third try after a loss
// waits longer, so that a store that is slow can still be followed.
constexpr std::chrono::milliseconds kShortLimit{500};
constexpr std::chrono::milliseconds kLongLimit{2000};

}  // namespace

TableWatch::TableWatch(Options options,
                       StorePort store,
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
  part_ = 0;
  from_.clear();
  rows_.clear();
  read_version_ = 0;
  read_began_ = now;
  ReadNextPart(now);
}

void TableWatch::ReadNextPart(TimePoint now) {
  is_running_ = true;
  store_(RowsRead{.table = options_.table,
                  .part = options_.parts[part_],
                  .from = from_,
                  .limit = Limit()},
         [this, now](StoreReply reply) { OnRead(std::move(reply), now); });
}

void TableWatch::OnRead(StoreReply reply, TimePoint) {
  const TimePoint now = clock_.now();
  if (reply.status != StoreStatus::kDone) {
    Fail(now);
    return;
  }
  // Changes after the oldest of the reads are seen again by the first watch.
  read_version_ = read_version_ == 0 ? reply.version
                                     : std::min(read_version_, reply.version);
  const bool has_more = reply.has_more && !reply.rows.empty();
  std::move(reply.rows.begin(), reply.rows.end(), std::back_inserter(rows_));
  if (has_more) {
    // The least key after the last one.
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
  is_synced_ = true;
  version_ = read_version_;
  Prove(read_began_, now);
  on_rows_(std::exchange(rows_, {}), /*is_full=*/true, now);
}

void TableWatch::Watch(TimePoint now) {
  is_running_ = true;
  store_(RowsWatch{.table = options_.table,
                   .after = version_,
                   .wait = failures_ > 0 ? std::chrono::milliseconds(0)
                                         : options_.wait,
                   .limit = Limit()},
         [this, now](const StoreReply& reply) { OnChanges(reply, now); });
}

void TableWatch::OnChanges(const StoreReply& reply, TimePoint sent_at) {
  const TimePoint now = clock_.now();
  if (reply.status == StoreStatus::kHistoryLost) {
    is_running_ = false;
    is_synced_ = false;
    next_call_ = now;
    return;
  }
  if (reply.status != StoreStatus::kDone) {
    Fail(now);
    return;
  }
  is_running_ = false;
  version_ = std::max(version_, reply.version);
  Prove(sent_at, now);
  if (!reply.rows.empty()) {
    on_rows_(reply.rows, /*is_full=*/false, now);
  }
}

std::chrono::milliseconds TableWatch::Limit() const {
  return failures_ % 3 == 2 ? kLongLimit : kShortLimit;
}

void TableWatch::Prove(TimePoint sent_at, TimePoint now) {
  if (failures_ > 0) {
    regained_at_ = now;
  }
  failures_ = 0;
  proven_at_ = sent_at;
}

void TableWatch::Fail(TimePoint now) {
  is_running_ = false;
  next_call_ = now + kFirstRetry * (1 << std::min(failures_, kMaxDoublings));
  ++failures_;
}

}  // namespace carawayrelay
