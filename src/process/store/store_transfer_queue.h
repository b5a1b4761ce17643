#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "process/serving/event_loop_clock.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Reads and writes of the store whose size a client chose: bodies and texts of
// batch items. All processes share the bandwidth of the store, so each of them
// transfers little at a time and gives a transfer time for its size. A transfer
// that fails is repeated after a growing, random pause: processes that failed
// together must not try again together.
//
// Reads and writes of objects under a name that stands for their content may be
// repeated; so may reads of rows. Transactions may not be queued here.
//
// Must be used on the event loop thread only.
class StoreTransferQueue {
 public:
  struct Options {
    std::uint64_t seed = 1;
    // Bytes that are transferred at the same time. A larger transfer runs
    // alone.
    size_t max_bytes = size_t{1} << 20;
  };
  struct Transfer {
    StoreRequest request;
    size_t bytes = 0;  // expected size
    // No attempt begins when this time is over.
    std::chrono::milliseconds time_limit{0};
  };

  StoreTransferQueue(Options options,
                     StoreSender store,
                     const EventLoopClock& clock);

  // Runs the transfer once there is room, in the order of the calls. `done`
  // gets the response of the store, or that of the last attempt when the time
  // limit is over. It is never called from within Add().
  void Add(Transfer transfer, StoreCallback done);
  // Begins transfers that are due and ends those whose time is over.
  void Tick(TimePoint now);

  // Number of transfers that have not ended.
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Transfer transfer;
    StoreCallback done;
    TimePoint give_up_at{};
    TimePoint next_attempt{};
    int failures = 0;
    bool is_running = false;
    StoreResponse last_response{.status = StoreStatus::kRefused,
                                .reason = "no room for the transfer in time"};
  };
  using EntryIt = std::list<Entry>::iterator;

  void StartDue(TimePoint now);
  void Start(EntryIt entry);
  void OnResponse(EntryIt entry, StoreResponse response);

  Options options_;
  StoreSender store_;
  const EventLoopClock& clock_;
  std::mt19937_64 random_;
  std::list<Entry> entries_;
  size_t running_ = 0;
  size_t running_bytes_ = 0;
};

// Returns how long a transfer of this size may take before it counts as lost.
std::chrono::milliseconds TransferTimeout(size_t bytes);

}  // namespace carawayrelay
