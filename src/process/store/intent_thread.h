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
  // Hands events to the dispatch thread; may wait for room in its ring.
  using Deliver = std::function<void(DispatchEvent event)>;

  IntentThread(std::unique_ptr<BlockingStoreClient> store_client,
               Deliver deliver);
  ~IntentThread();

  // Returns false when the ring is full. A lost CompleteIntent or
  // ReleaseIntent leaves the row pending, and a resend gets `unknown`.
  bool TryPush(IntentAction action);
  // Writes what is queued, as far as the store allows, and joins the thread.
  void Stop();

 private:
  // A row of this process.
  struct OwnRow {
    IntentRecord record;
    std::string etag;
  };
  // The last write to an own row: done or released.
  struct FinalWrite {
    IntentRecord value;
    // Empty when the row must be read first.
    std::string etag;
    TimePoint deadline;
  };
  enum class WriteResult { kFinished, kRetry };

  void Run();
  void Handle(RecordIntent& request);
  void Handle(CompleteIntent& complete);
  void Handle(ReleaseIntent& release);
  DispatchEvent Record(const RecordIntent& request);
  // The write at `etag` replaces a row; without, it creates one.
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
  // Row key and nonce, oldest first. Bounds own_rows_, because a request whose
  // outcome is unknown is neither completed nor released.
  std::deque<std::pair<std::string, std::string>> own_row_order_;
  std::deque<FinalWrite> deferred_;
  // No access to the store before this time, after one that failed.
  std::optional<TimePoint> store_unavailable_until_;
  Ring<IntentAction> ring_;
  std::thread thread_;
};

}  // namespace carawayrelay
