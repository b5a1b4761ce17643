#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"
#include "process/limits/limit_lease_manager.h"
#include "process/store/blocking_store_client.h"
#include "process/transport/ring.h"

namespace carawayrelay {

using LimitsCommand = std::variant<AcknowledgedNodes, EntryNodes>;

// The `limits` thread, which reads and writes the lease rows of the rate
// limiter with blocking store calls.
class LimitsThread {
 public:
  struct Options {
    std::string node;
    int shard_count = 4;
    LimitTimes times;
  };
  // Passes an event to the dispatch thread. Called on the limits thread; may
  // block until the ring of the dispatch thread has capacity.
  using Deliver = std::function<void(LimitLeaseEvent event)>;

  LimitsThread(Options options,
               std::unique_ptr<BlockingStoreClient> platform,
               Deliver deliver);
  ~LimitsThread();

  // Returns false if the command ring is full. Commands carry complete states,
  // so the caller can send the current state later.
  bool TryPush(LimitsCommand command);
  // Releases the leases and joins the thread.
  void Stop();

 private:
  void Run();
  void RunCommand(LimitsCommand command);
  void SyncLeases();
  void Write(const LimitRowWrite& write);
  void DeliverAll(std::vector<LimitLeaseEvent>& events);

  Options options_;
  std::unique_ptr<BlockingStoreClient> platform_;
  Deliver deliver_;
  LimitLeaseManager lease_manager_;
  EntryNodes nodes_;
  bool store_reachable_ = true;
  Ring<LimitsCommand> commands_;
  std::thread thread_;
};

}  // namespace carawayrelay
