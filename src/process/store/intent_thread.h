#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"
#include "process/dispatch/dispatch_thread.h"
#include "process/store/blocking_store_client.h"
#include "process/store/intent_record.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// The `intents` thread: writes the rows of requests that must run at most once.
class IntentThread {
 public:
  using IntentAction = DispatchThread::IntentAction;
  // Passes events to the dispatch thread; may block while its ring is full.
  using Deliver = std::function<void(DispatchEvent event)>;

  IntentThread(std::unique_ptr<BlockingStoreClient> store_client,
               Deliver deliver);
  ~IntentThread();

  // Returns false when the ring is full or closed. If a CompleteIntent or
  // ReleaseIntent is lost this way, the row stays pending and a resend gets
  // `unknown`.
  bool TryPush(IntentAction action);
  // Handles the queued actions, tries each deferred write once more and joins
  // the thread. Rows that cannot be written stay pending.
  void Stop();

 private:
  // A pending row that this process wrote.
  struct OwnRow {
    IntentRecord record;
    std::string etag;
  };
  // The last write to an own row, which marks it as done or released.
  struct FinalWrite {
    IntentRecord value;
    // Empty if the row must be read before it is written.
    std::string etag;
    TimePoint deadline;
  };
  enum class WriteResult { kFinished, kRetry };

  void Run();
  void Handle(RecordIntent& request);
  void Handle(CompleteIntent& complete);
  void Handle(ReleaseIntent& release);
  DispatchEvent Record(const RecordIntent& request);
  // Replaces the row that has `etag`, or creates the row if `etag` is empty.
  Result<std::string> WriteRow(const std::string& row_key,
                               const IntentRecord& record,
                               const std::string& etag);
  void AddOwnRow(const std::string& row_key, OwnRow row);
  std::optional<OwnRow> TakeOwnRow(const std::string& row_key);
  void WriteOrDefer(FinalWrite write);
  WriteResult TryFinalWrite(FinalWrite& write);
  void Defer(FinalWrite write);
  void RetryDeferred();
  bool IsStoreUnavailable() const;
  void RecordStoreError(const Error& error);

  std::unique_ptr<BlockingStoreClient> store_client_;
  Deliver deliver_;
  std::map<std::string, OwnRow> own_rows_;
  // Row keys and nonces, oldest first. Limits the size of own_rows_: a request
  // with an unknown outcome is neither completed nor released, so its row would
  // never be removed.
  std::deque<std::pair<std::string, std::string>> own_row_order_;
  // Final writes to be retried.
  std::deque<FinalWrite> deferred_;
  // Set after a failed access; the store is not accessed before this time.
  std::optional<TimePoint> store_unavailable_until_;
  Ring<IntentAction> ring_;
  std::thread thread_;
};

}  // namespace carawayrelay
