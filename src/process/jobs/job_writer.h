#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/jobs/job_table.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_call.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Changes job states in the store under the condition that nobody else did.
// Edits of one job that wait at the same time go into one transaction. When
// the answer to a write is lost, the row is read and the edits are applied to
// what it shows, so an edit must recognise its own effect.
class JobWriter {
 public:
  enum class Outcome {
    kChanged,  // the state must be written
    kAlready,  // the state shows the effect of the edit
    kMoot,     // the edit no longer applies
  };
  struct Edit {
    // Changes `job`; adds rows that must be written or removed with it.
    std::function<Outcome(BulkJob& job, RowsTransaction& transaction)> apply;
    // Told once: kChanged when written, otherwise as `apply` said.
    std::function<void(Outcome)> done;
  };

  JobWriter(JobTable& jobs, StorePort store, const EventLoopClock& clock)
      : jobs_(jobs), store_(std::move(store)), clock_(clock) {}

  // The edit runs in a later Tick(), never from here, so that callers may add
  // edits while they walk over their own state.
  void Add(const std::string& job, Edit edit);
  // Writes what waits and repeats what failed, when it is due. Call it often.
  void Tick(TimePoint now);

 private:
  struct Pending {
    std::vector<Edit> waiting;
    std::vector<Edit> writing;  // of the running transaction
    bool is_running = false;
    bool must_read = false;
    int failures = 0;
    TimePoint retry_at{};
  };

  void Advance(const std::string& job, TimePoint now);
  void Read(const std::string& job);
  void Write(const std::string& job);
  void OnWritten(const std::string& job, const StoreReply& reply);
  void Fail(const std::string& job, bool must_read);

  JobTable& jobs_;
  StorePort store_;
  const EventLoopClock& clock_;
  std::map<std::string, Pending> pending_;
};

}  // namespace carawayrelay
