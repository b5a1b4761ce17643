#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"
#include "process/limits/limit_lease_book.h"
#include "process/store/blocking_store_client.h"
#include "process/transport/ring.h"

namespace carawayrelay {

using LimitsCommand = std::variant<AcknowledgedNodes, EntryNodes>;

// The `limits` thread: reads and writes the lease rows of the rate limiter.
class LimitsThread {
 public:
  struct Options {
    std::string node;
    int shard_count = 4;
    LimitTimes times;
  };
  // Hands events to the dispatch thread; may wait for room in its ring.
  using Deliver = std::function<void(LimitLeaseEvent event)>;

  LimitsThread(Options options,
               std::unique_ptr<BlockingStoreClient> platform,
               Deliver deliver);
  ~LimitsThread();

  // Returns false when the command ring is full; the caller sends the same
  // state again later.
  bool TryPush(LimitsCommand command);
  // Gives up the leases and joins the thread.
  void Stop();

 private:
  void Run();
  void RunCommand(LimitsCommand command);
  void Turn();
  void Write(const LimitRowWrite& write);
  void DeliverAll(std::vector<LimitLeaseEvent>& events);

  Options options_;
  std::unique_ptr<BlockingStoreClient> platform_;
  Deliver deliver_;
  LimitLeaseBook book_;
  EntryNodes nodes_;
  bool store_reachable_ = true;
  Ring<LimitsCommand> commands_;
  std::thread thread_;
};

}  // namespace carawayrelay
