#include "process/store/store_transfer_queue.h"

#include <variant>

#include "request/overloaded.h"
#include "request/random_backoff.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBaseTimeout{1500};
// A transfer that is slower than this counts as lost.
constexpr size_t kMinBytesPerMs = 256;
// An attempt with less time left than this is not begun.
constexpr milliseconds kMinAttemptTime{100};
constexpr milliseconds kFirstPause{50};
constexpr int kMaxDoublings = 5;

void SetTimeout(StoreRequest& request, milliseconds timeout) {
  std::visit(Overloaded{
                 [&](ObjectRead& read) { read.timeout = timeout; },
                 [&](ObjectWrite& write) { write.timeout = timeout; },
                 [&](RowsRead& read) { read.timeout = timeout; },
                 [](auto&) {},
             },
             request);
}

bool MayRetry(StoreStatus status) {
  return status == StoreStatus::kRefused || status == StoreStatus::kUnknown;
}

}  // namespace

milliseconds TransferTimeout(size_t bytes) {
  return kBaseTimeout + milliseconds(bytes / kMinBytesPerMs);
}

StoreTransferQueue::StoreTransferQueue(Options options,
                                       StoreSender store,
                                       const EventLoopClock& clock)
    : options_(options),
      store_(std::move(store)),
      clock_(clock),
      random_(options.seed) {}

void StoreTransferQueue::Add(Transfer transfer, StoreCallback done) {
  const TimePoint now = clock_.now();
  const TimePoint give_up_at = now + transfer.time_limit;
  entries_.push_back({.transfer = std::move(transfer),
                      .done = std::move(done),
                      .give_up_at = give_up_at,
                      .next_attempt = now});
  StartDue(now);
}

void StoreTransferQueue::Tick(TimePoint now) {
  std::list<Entry> expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto entry = it++;
    if (!entry->is_running && now + kMinAttemptTime > entry->give_up_at) {
      expired.splice(expired.end(), entries_, entry);
    }
  }
  StartDue(now);
  for (Entry& entry : expired) {
    entry.done(std::move(entry.last_response));
  }
}

void StoreTransferQueue::StartDue(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->is_running || now < it->next_attempt ||
        now + kMinAttemptTime > it->give_up_at) {
      continue;
    }
    // Transfers behind one that does not fit wait too, or a large one would
    // never run.
    if (running_ > 0 &&
        running_bytes_ + it->transfer.bytes > options_.max_bytes) {
      return;
    }
    Start(it);
  }
}

void StoreTransferQueue::Start(EntryIt entry) {
  entry->is_running = true;
  ++running_;
  running_bytes_ += entry->transfer.bytes;
  StoreRequest request = entry->transfer.request;
  SetTimeout(request, TransferTimeout(entry->transfer.bytes));
  store_(std::move(request), [this, entry](StoreResponse response) {
    OnResponse(entry, std::move(response));
  });
}

void StoreTransferQueue::OnResponse(EntryIt entry, StoreResponse response) {
  const TimePoint now = clock_.now();
  entry->is_running = false;
  --running_;
  running_bytes_ -= entry->transfer.bytes;
  if (MayRetry(response.status)) {
    entry->next_attempt = now + RandomBackoff(kFirstPause, entry->failures,
                                              kMaxDoublings, random_);
    ++entry->failures;
    entry->last_response = std::move(response);
    StartDue(now);
    return;
  }
  const StoreCallback done = std::move(entry->done);
  entries_.erase(entry);
  StartDue(now);
  done(std::move(response));
}

}  // namespace carawayrelay
