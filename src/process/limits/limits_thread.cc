#include "process/limits/limits_thread.h"

#include <chrono>
#include <map>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

constexpr const char* kTable = "limits";
// Several intervals fit into the duration of a lease, so that one failed write
// does not lose the lease.
constexpr std::chrono::milliseconds kSyncInterval{600};
constexpr size_t kCommandCapacity = 256;

}  // namespace

LimitsThread::LimitsThread(Options options,
                           std::unique_ptr<BlockingStoreClient> platform,
                           Deliver deliver)
    : options_(std::move(options)),
      platform_(std::move(platform)),
      deliver_(std::move(deliver)),
      lease_manager_(options_.node, options_.times),
      commands_(kCommandCapacity),
      thread_([this] { Run(); }) {}

LimitsThread::~LimitsThread() {
  Stop();
}

bool LimitsThread::TryPush(LimitsCommand command) {
  return commands_.TryPush(std::move(command));
}

void LimitsThread::Stop() {
  commands_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void LimitsThread::Run() {
  while (true) {
    SyncLeases();
    const TimePoint next_sync = BootClock::now() + kSyncInterval;
    while (std::optional<LimitsCommand> command =
               commands_.PopUntil(next_sync)) {
      RunCommand(*std::move(command));
    }
    if (commands_.IsClosed()) {
      break;
    }
  }
  for (const LimitRowWrite& write : lease_manager_.Release()) {
    Write(write);
  }
}

void LimitsThread::RunCommand(LimitsCommand command) {
  std::visit(Overloaded{
                 [&](AcknowledgedNodes& c) {
                   lease_manager_.SetAcknowledged(c.shard, c.fence,
                                                  std::move(c.nodes));
                 },
                 [&](EntryNodes& nodes) { nodes_ = std::move(nodes); },
             },
             command);
}

void LimitsThread::SyncLeases() {
  const Result<std::vector<KeyedRow>> listed = platform_->ListRows(
      kTable, "", "", static_cast<size_t>(options_.shard_count));
  if (!listed) {
    if (std::exchange(store_reachable_, false)) {
      LogWarning(LogEvent::kLimitsStoreDown,
                 "failed to read rate-limit leases from the store; leases are "
                 "not renewed "
                 "until a read succeeds: {}",
                 listed.error().message);
    }
    return;
  }
  store_reachable_ = true;
  std::map<std::string, Row> rows;
  for (const KeyedRow& keyed : listed.value()) {
    rows[keyed.key] = keyed.row;
  }
  for (int shard = 0; shard < options_.shard_count; ++shard) {
    const auto it = rows.find(std::to_string(shard));
    std::optional<LimitRow> row;
    std::string etag;
    if (it != rows.end()) {
      const Result<LimitRow> parsed = ParseLimitRow(it->second.value);
      if (!parsed) {
        LogError(LogEvent::kLimitRowMalformed,
                 "skipping rate-limit shard {}: {}", shard,
                 parsed.error().message);
        continue;
      }
      row = parsed.value();
      etag = it->second.etag;
    }
    std::vector<LimitLeaseEvent> events;
    const std::optional<LimitRowWrite> write = lease_manager_.HandleRow(
        shard, row, etag, nodes_, BootClock::now(), events);
    DeliverAll(events);
    if (write) {
      Write(*write);
    }
  }
}

void LimitsThread::Write(const LimitRowWrite& write) {
  const TimePoint started = BootClock::now();
  const std::string key = std::to_string(write.shard);
  const std::string value = ToJson(write.row);
  const Result<std::string> etag =
      write.etag.empty() ? platform_->CreateRow(kTable, key, value)
                         : platform_->UpdateRow(kTable, key, value, write.etag);
  std::vector<LimitLeaseEvent> events;
  lease_manager_.HandleWritten(write, etag, started, BootClock::now(), events);
  DeliverAll(events);
}

void LimitsThread::DeliverAll(std::vector<LimitLeaseEvent>& events) {
  for (LimitLeaseEvent& event : events) {
    if (const auto* acquired = std::get_if<LeaseAcquired>(&event)) {
      LogInfo(LogEvent::kLimitLeaseHeld,
              "acquired lease of rate-limit shard {} with fence {}",
              acquired->shard, ToInt(acquired->row.fence));
    } else if (const auto* lost = std::get_if<LeaseLost>(&event)) {
      LogInfo(LogEvent::kLimitLeaseLost,
              "lost or released lease of rate-limit shard {}", lost->shard);
    }
    deliver_(std::move(event));
  }
}

}  // namespace carawayrelay
