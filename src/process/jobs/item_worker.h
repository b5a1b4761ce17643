#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/job_codec.h"
#include "process/forward/runner_directory.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/store/store_client.h"
#include "process/transport/outbound_calls.h"
#include "request/event_cutter.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Runs items of batch jobs on the backend server of its own VM, in the slots
// that online requests leave free. Items are claimed in the store; a run that
// must give way is stopped and goes on later after its last event.
class ItemWorker {
 public:
  struct Options {
    std::string node;
    std::string runner_address;  // "IP:port"
    // Slots that stay free for online requests while at least
    // `reserve_from_online` of them run. Fewer of them seldom come so close
    // together that they need a free slot at once.
    int reserved_slots = 1;
    int reserve_from_online = 3;
    // How long an item runs as a rule. Items that are due sooner come after
    // those that can still be in time.
    std::chrono::milliseconds run_time{4000};
    std::uint64_t seed = 1;
    std::chrono::milliseconds report_interval{40};
    // A claim that is not renewed for this long may be taken over.
    std::chrono::milliseconds lease{8000};
    // An item that found no room for this long goes back to all workers.
    std::chrono::milliseconds pause_limit{3000};
    // A run without an event for this long is stopped and resumed.
    std::chrono::milliseconds silence_limit{2500};
  };

  struct Counters {
    std::uint64_t completed = 0;
    std::uint64_t given_up = 0;
    std::uint64_t yielded = 0;  // runs that were stopped for online requests
    std::uint64_t released = 0;
  };

  ItemWorker(Options options,
             JobTable& jobs,
             JobWriter& writer,
             StoreClient& store,
             RunnerDirectory& runners,
             OutboundCalls& calls,
             const EventLoopClock& clock);

  void SetConfig(ServingConfigPtr config) { config_ = std::move(config); }
  void Tick(TimePoint now);
  // Stops all runs and gives their items back to the other workers.
  void Stop(TimePoint now);
  // Whether claims are still being given back.
  bool IsIdle() const { return runs_.empty(); }
  // Whether items of some job may be waiting.
  bool HasOpenJob() const;
  const Counters& counters() const { return counters_; }

 private:
  using ItemKey = std::pair<std::string, size_t>;  // job and index

  enum class RunState {
    kLoading,   // its request or the text so far is being read
    kPaused,    // waits for a free slot
    kRunning,   // a call to the backend server runs
    kListing,   // its result is being written
    kReturning  // its claim is being given back
  };
  struct Run {
    RunState state = RunState::kLoading;
    TimePoint state_since{};
    platform::SubmittedItem item;
    bool has_item = false;
    PartialRun progress;
    int failures = 0;
    std::chrono::milliseconds lease_end{0};
    bool is_renewing = false;
    // Of the running call.
    OutboundId out{0};
    std::string runner;  // id of the backend server it was sent to
    int status = 0;
    bool is_declined = false;
    bool is_foreign = false;
    std::string head_problem;
    EventCutter cutter;
    TimePoint heard_at{};
    TimePoint started_at{};
  };

  void AskReport(TimePoint now);
  void OnReport(const RunnerLoad& load, TimePoint now);
  void Yield(int count, TimePoint now);
  // The own backend server when it takes work, or nullptr.
  RunnerDirectory::Runner* OwnRunner();
  int CountRunning() const;
  int CountHeld() const;

  void DropMoot(TimePoint now);
  void GiveUpExpired(TimePoint now);
  void GiveUpAll(const std::string& job,
                 const std::vector<platform::SubmittedItem>& items);
  void Claim(int count, TimePoint now);
  std::optional<std::string> ChooseJob(TimePoint now);
  // Whether the wait before a claim of the job at this version is over.
  bool IsClaimTime(const std::string& job,
                   std::uint64_t version,
                   TimePoint now);
  bool IsClaimable(const std::string& job,
                   size_t index,
                   const JobItemState& item,
                   std::chrono::milliseconds store_now) const;
  void OnClaimed(const std::string& job,
                 const std::vector<size_t>& items,
                 TimePoint now);
  void Load(const ItemKey& key);
  void StartPaused(int count, TimePoint now);
  void Start(const ItemKey& key, Run& run, TimePoint now);
  void OnEvent(const ItemKey& key, CallEvent& event);
  void TakeEvents(Run& run, const std::string& bytes);
  void OnEnd(const ItemKey& key, Run& run, const CallEnd& end, TimePoint now);
  void Pause(Run& run, TimePoint now);
  // The own backend server failed the item.
  void NoteRunFailed(const ItemKey& key, TimePoint now);
  void Finish(const ItemKey& key,
              Run& run,
              bool is_complete,
              const std::string& reason,
              TimePoint now);
  void List(const ItemKey& key, const ItemResult& result);
  void Return(const ItemKey& key,
              Run& run,
              const std::string& reason,
              TimePoint now);
  void Renew(TimePoint now);
  const ServingRoute* RouteOf(const std::string& job) const;

  Options options_;
  JobTable& jobs_;
  JobWriter& writer_;
  StoreClient& store_;
  RunnerDirectory& runners_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  ServingConfigPtr config_;
  std::mt19937_64 random_;
  std::map<ItemKey, Run> runs_;
  // When items of a job may be claimed, at the version that was known then.
  struct ClaimTime {
    std::uint64_t version = 0;
    TimePoint at{};
  };
  std::map<std::string, ClaimTime> claim_times_;
  // Items that failed at the own backend server, which others try first.
  std::map<ItemKey, TimePoint> failed_here_;
  int failures_in_a_row_ = 0;
  bool is_claiming_ = false;
  bool is_stopping_ = false;
  bool is_asking_ = false;
  bool is_giving_up_ = false;
  TimePoint next_report_{};
  TimePoint next_claim_{};
  TimePoint next_sweep_{};
  Counters counters_;
};

}  // namespace carawayrelay
