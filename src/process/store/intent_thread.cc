#include "process/store/intent_thread.h"

#include <array>
#include <chrono>
#include <random>
#include <variant>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

constexpr const char* kTable = "intents";
// With responses of 1 MiB the ring and the deferred writes hold at most 256 MiB
// each.
constexpr size_t kRingCapacity = 256;
constexpr size_t kMaxDeferred = 256;
// Covers several minutes at a few hundred writes/s.
constexpr size_t kMaxOwnRows = 65536;
// For this time after a failed access, requests are refused at once instead of
// each waiting for a timeout.
constexpr std::chrono::milliseconds kStoreRetryDelay{500};
constexpr std::chrono::minutes kFinalWriteTimeout{10};
// A write with an unknown outcome may still take effect after its timeout. For
// this long, the thread tries to release the row.
constexpr std::chrono::seconds kLateWriteTimeout{30};
constexpr int kMaxRecordAttempts = 3;

std::string NewNonce() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(),
                     random());
}

bool IsTransient(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kUnknown;
}

DispatchEvent Failed(const RecordIntent& request, std::string reason) {
  return IntentFailed{.request = request.request, .reason = std::move(reason)};
}

DispatchEvent Recorded(const RecordIntent& request) {
  return IntentRecorded{.request = request.request,
                        .workspace = request.workspace,
                        .key = request.key};
}

}  // namespace

IntentThread::IntentThread(std::unique_ptr<BlockingStoreClient> store_client,
                           Deliver deliver)
    : store_client_(std::move(store_client)),
      deliver_(std::move(deliver)),
      ring_(kRingCapacity),
      thread_([this] { Run(); }) {}

IntentThread::~IntentThread() {
  Stop();
}

bool IntentThread::TryPush(IntentAction action) {
  // Bodies over the limit are cut here, which bounds the memory of the ring.
  if (auto* complete = std::get_if<CompleteIntent>(&action);
      complete != nullptr &&
      complete->response.body.size() > kMaxStoredResponseBytes) {
    // One byte over the limit is kept, so that IsStorable() still rejects the
    // response.
    complete->response.body.resize(kMaxStoredResponseBytes + 1);
    complete->response.body.shrink_to_fit();
  }
  return ring_.TryPush(std::move(action));
}

void IntentThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void IntentThread::Run() {
  TimePoint next_retry = BootClock::now() + kStoreRetryDelay;
  while (true) {
    std::optional<IntentAction> action =
        deferred_.empty() ? ring_.Pop() : ring_.PopUntil(next_retry);
    if (action) {
      std::visit([&](auto& a) { Handle(a); }, *action);
    } else if (ring_.IsClosed() && ring_.size() == 0) {
      break;
    }
    if (BootClock::now() >= next_retry) {
      RetryDeferred();
      next_retry = BootClock::now() + kStoreRetryDelay;
    }
  }
  RetryDeferred();
  if (!deferred_.empty()) {
    LogWarning(LogEvent::kIntentOutcomeLost,
               "process is stopping; {} intent rows stay pending",
               deferred_.size());
  }
}

void IntentThread::Handle(RecordIntent& request) {
  if (IsStoreUnavailable()) {
    deliver_(Failed(request, "the store is unavailable"));
    return;
  }
  deliver_(Record(request));
}

void IntentThread::Handle(CompleteIntent& complete) {
  std::optional<OwnRow> row =
      TakeOwnRow(IntentRowKey(complete.workspace, complete.key));
  if (!row) {
    return;
  }
  std::optional<StoredResponse> response;
  if (IsStorable(complete.response)) {
    response = std::move(complete.response);
  }
  WriteOrDefer({.value = CompletedIntent(row->record, std::move(response)),
                .etag = std::move(row->etag),
                .deadline = BootClock::now() + kFinalWriteTimeout});
}

void IntentThread::Handle(ReleaseIntent& release) {
  std::optional<OwnRow> row =
      TakeOwnRow(IntentRowKey(release.workspace, release.key));
  if (!row) {
    return;
  }
  WriteOrDefer({.value = ReleasedIntent(row->record),
                .etag = std::move(row->etag),
                .deadline = BootClock::now() + kFinalWriteTimeout});
}

DispatchEvent IntentThread::Record(const RecordIntent& request) {
  const std::string row_key = IntentRowKey(request.workspace, request.key);
  const IntentRecord record = NewIntent(request, NewNonce());
  std::string etag;
  for (int i = 0; i < kMaxRecordAttempts; ++i) {
    Result<std::string> written = WriteRow(row_key, record, etag);
    if (written) {
      AddOwnRow(row_key, {.record = record, .etag = written.value()});
      return Recorded(request);
    }
    if (written.error().code != ErrorCode::kConflict) {
      RecordStoreError(written.error());
      if (written.error().code == ErrorCode::kUnknown) {
        Defer({.value = ReleasedIntent(record),
               .deadline = BootClock::now() + kLateWriteTimeout});
      }
      return Failed(request, written.error().message);
    }
    const Result<Row> row = store_client_->ReadRow(kTable, row_key);
    if (!row) {
      RecordStoreError(row.error());
      return Failed(request, row.error().message);
    }
    const Result<IntentRecord> found = ParseIntentRecord(row.value().value);
    if (!found) {
      LogError(LogEvent::kIntentRowMalformed, "cannot parse row {}: {}",
               row_key, found.error().message);
      return Failed(request, found.error().message);
    }
    if (found.value().nonce == record.nonce) {
      AddOwnRow(row_key, {.record = record, .etag = row.value().etag});
      return Recorded(request);
    }
    if (!CanTakeOver(found.value())) {
      return RespondToResend(found.value(), request);
    }
    etag = row.value().etag;
  }
  return Failed(request, "the intent row changes too often");
}

Result<std::string> IntentThread::WriteRow(const std::string& row_key,
                                           const IntentRecord& record,
                                           const std::string& etag) {
  Result<std::string> written =
      etag.empty()
          ? store_client_->CreateRow(kTable, row_key, ToJson(record))
          : store_client_->UpdateRow(kTable, row_key, ToJson(record), etag);
  if (written) {
    store_unavailable_until_.reset();
  }
  return written;
}

void IntentThread::AddOwnRow(const std::string& row_key, OwnRow row) {
  own_row_order_.emplace_back(row_key, row.record.nonce);
  own_rows_.insert_or_assign(row_key, std::move(row));
  if (own_row_order_.size() > kMaxOwnRows) {
    const auto& [oldest_key, nonce] = own_row_order_.front();
    const auto oldest = own_rows_.find(oldest_key);
    if (oldest != own_rows_.end() && oldest->second.record.nonce == nonce) {
      own_rows_.erase(oldest);
    }
    own_row_order_.pop_front();
  }
}

std::optional<IntentThread::OwnRow> IntentThread::TakeOwnRow(
    const std::string& row_key) {
  auto node = own_rows_.extract(row_key);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

void IntentThread::WriteOrDefer(FinalWrite write) {
  if (IsStoreUnavailable() || TryFinalWrite(write) == WriteResult::kRetry) {
    Defer(std::move(write));
  }
}

IntentThread::WriteResult IntentThread::TryFinalWrite(FinalWrite& write) {
  const std::string row_key =
      IntentRowKey(write.value.workspace, write.value.key);
  if (write.etag.empty()) {
    const Result<Row> row = store_client_->ReadRow(kTable, row_key);
    if (!row) {
      if (row.error().code != ErrorCode::kNotFound) {
        RecordStoreError(row.error());
      }
      return WriteResult::kRetry;
    }
    const Result<IntentRecord> found = ParseIntentRecord(row.value().value);
    if (!found) {
      LogError(LogEvent::kIntentRowMalformed, "cannot parse row {}: {}",
               row_key, found.error().message);
      return WriteResult::kFinished;
    }
    if (found.value().nonce != write.value.nonce) {
      // If the row is released, the write of this process that takes it over
      // may still take effect.
      return CanTakeOver(found.value()) ? WriteResult::kRetry
                                        : WriteResult::kFinished;
    }
    if (found.value().state != IntentState::kPending) {
      return WriteResult::kFinished;
    }
    write.etag = row.value().etag;
  }
  const Result<std::string> written =
      WriteRow(row_key, write.value, write.etag);
  if (written) {
    return WriteResult::kFinished;
  }
  // The row is read before the next attempt, because it may have changed.
  write.etag.clear();
  if (written.error().code == ErrorCode::kConflict) {
    return WriteResult::kRetry;
  }
  RecordStoreError(written.error());
  if (!IsTransient(written.error()) &&
      !std::exchange(write.value.response, std::nullopt)) {
    LogWarning(LogEvent::kIntentOutcomeLost,
               "cannot write the outcome; intent row {} stays pending: {}",
               row_key, written.error().message);
    return WriteResult::kFinished;
  }
  // After a permanent error the write is repeated without the response, because
  // the store may have refused it for its size.
  return WriteResult::kRetry;
}

void IntentThread::Defer(FinalWrite write) {
  if (deferred_.size() >= kMaxDeferred) {
    LogWarning(
        LogEvent::kIntentOutcomeLost,
        "intent row {}/{} stays pending: the queue of deferred writes is full",
        write.value.workspace, write.value.key);
    return;
  }
  deferred_.push_back(std::move(write));
}

void IntentThread::RetryDeferred() {
  std::deque<FinalWrite> writes = std::exchange(deferred_, {});
  for (FinalWrite& write : writes) {
    if (!IsStoreUnavailable() &&
        TryFinalWrite(write) == WriteResult::kFinished) {
      continue;
    }
    if (BootClock::now() < write.deadline) {
      deferred_.push_back(std::move(write));
    } else {
      LogWarning(LogEvent::kIntentOutcomeLost,
                 "intent row {}/{}: the final write did not succeed in time; "
                 "giving up",
                 write.value.workspace, write.value.key);
    }
  }
}

bool IntentThread::IsStoreUnavailable() const {
  return store_unavailable_until_ &&
         BootClock::now() < *store_unavailable_until_;
}

void IntentThread::RecordStoreError(const Error& error) {
  // A permanent error concerns one row and must not delay the writes of others.
  if (!IsTransient(error)) {
    return;
  }
  if (!store_unavailable_until_) {
    LogWarning(LogEvent::kIntentStoreFailing,
               "cannot access the intent rows: {}", error.message);
  }
  store_unavailable_until_ = BootClock::now() + kStoreRetryDelay;
}

}  // namespace carawayrelay
