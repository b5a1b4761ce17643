#include "process/limits/limits_thread.h"

#include <chrono>
#include <map>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

constexpr const char* kTable = "limits";
// Several turns fit into the lease, so that one failed write does no harm.
constexpr std::chrono::milliseconds kTurnInterval{600};
constexpr size_t kCommandCapacity = 256;

}  // namespace

LimitsThread::LimitsThread(Options options,
                           std::unique_ptr<BlockingStoreClient> platform,
                           Deliver deliver)
    : options_(std::move(options)),
      platform_(std::move(platform)),
      deliver_(std::move(deliver)),
      book_(options_.node, options_.times),
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
    Turn();
    const TimePoint next_turn = BootClock::now() + kTurnInterval;
    while (std::optional<LimitsCommand> command =
               commands_.PopUntil(next_turn)) {
      RunCommand(*std::move(command));
    }
    if (commands_.IsClosed()) {
      break;
    }
  }
  for (const LimitRowWrite& write : book_.Release()) {
    Write(write);
  }
}

void LimitsThread::RunCommand(LimitsCommand command) {
  std::visit(Overloaded{
                 [&](AcknowledgedNodes& c) {
                   book_.SetAcknowledged(c.shard, c.fence, std::move(c.nodes));
                 },
                 [&](EntryNodes& nodes) { nodes_ = std::move(nodes); },
             },
             command);
}

void LimitsThread::Turn() {
  const Result<std::vector<KeyedRow>> listed = platform_->ListRows(
      kTable, "", "", static_cast<size_t>(options_.shard_count));
  if (!listed) {
    if (std::exchange(store_reachable_, false)) {
      LogWarning(LogEvent::kLimitsStoreDown,
                 "limit leases cannot be read or renewed: {}",
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
        LogError(LogEvent::kLimitRowMalformed, "shard {}: {}", shard,
                 parsed.error().message);
        continue;
      }
      row = parsed.value();
      etag = it->second.etag;
    }
    std::vector<LimitLeaseEvent> events;
    const std::optional<LimitRowWrite> write =
        book_.HandleRow(shard, row, etag, nodes_, BootClock::now(), events);
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
  book_.HandleWritten(write, etag, started, BootClock::now(), events);
  DeliverAll(events);
}

void LimitsThread::DeliverAll(std::vector<LimitLeaseEvent>& events) {
  for (LimitLeaseEvent& event : events) {
    if (const auto* held = std::get_if<LeaseHeld>(&event)) {
      LogInfo(LogEvent::kLimitLeaseHeld, "holds shard {} with fence {}",
              held->shard, ToInt(held->row.fence));
    } else if (const auto* lost = std::get_if<LeaseLost>(&event)) {
      LogInfo(LogEvent::kLimitLeaseLost, "no longer holds shard {}",
              lost->shard);
    }
    deliver_(std::move(event));
  }
}

}  // namespace carawayrelay
