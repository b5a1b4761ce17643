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
#include "process/forward/backend_directory.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/jobs/submission_reader.h"
#include "process/quarantine/prompt_quarantine.h"
#include "process/quarantine/prompt_trials.h"
#include "process/store/store_client.h"
#include "process/store/store_transfer_queue.h"
#include "process/transport/outbound_calls.h"
#include "request/sse_event_splitter.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Runs items of batch jobs on the backend server of the worker's VM, in slots
// that online requests do not use. A worker claims items in the store before it
// runs them. A run that is stopped for online requests resumes later after its
// last event. Must be used on the event loop thread only.
class ItemWorker {
 public:
  struct Options {
    std::string node;
    std::string backend_address;  // "IP:port"
    // Slots that stay free for online requests while at least
    // `reserve_threshold` online requests run or wait. With fewer, new requests
    // seldom arrive so close together that they need a free slot at once.
    int reserved_slots = 1;
    int reserve_threshold = 3;
    // Typical run time of an item. Jobs that are due sooner than this are
    // chosen after jobs that can still finish in time.
    std::chrono::milliseconds run_time{4000};
    std::uint64_t seed = 1;
    std::chrono::milliseconds report_interval{40};
    // Another worker may take over a claim that is not renewed for this long.
    std::chrono::milliseconds lease{8000};
    // The claim of an item that gets no free slot for this long is released, so
    // that other workers can run the item.
    std::chrono::milliseconds pause_limit{3000};
    // No run starts while the job table is older than this, because its job may
    // have ended. More than two waits of a watch call of the store.
    std::chrono::milliseconds max_jobs_age{2500};
    // Longest text of an item in bytes. A run that sends more is broken: the
    // text so far is dropped, since its end is not known.
    size_t max_text_bytes = size_t{4} << 20;
    // How long the items of a job are left to workers with a faster backend
    // server. Longer than the random delay before a claim, so that one of them
    // can claim.
    std::chrono::milliseconds leave_time{800};
    // Longest time for which an item whose prompt crashes backend servers is
    // held before its prompt is looked at again.
    std::chrono::milliseconds hold_time{10000};
    // A run without progress for this long is stopped and resumed.
    std::chrono::milliseconds silence_limit{2500};
    // The claim of an item that gets no new event for this long is released,
    // whatever its runs do, and the item is left to other workers at first.
    // Longer than two runs that make no progress.
    std::chrono::milliseconds progress_limit{6000};
  };

  struct Counters {
    std::uint64_t completed = 0;
    std::uint64_t given_up = 0;  // listed without a complete result
    std::uint64_t yielded = 0;   // runs that were stopped for online requests
    std::uint64_t released = 0;  // claims that were released without a result
    std::uint64_t held = 0;      // because of their prompts
  };

  ItemWorker(Options options,
             JobTable& jobs,
             JobWriter& writer,
             StoreClient& store,
             StoreTransferQueue& transfers,
             BackendDirectory& backends,
             PromptQuarantine& quarantine,
             PromptTrials& trials,
             OutboundCalls& calls,
             const EventLoopClock& clock);

  void SetConfig(ServingConfigPtr config) { config_ = std::move(config); }
  void Tick(TimePoint now);
  // Stops all runs and releases their claims, so that other workers can run the
  // items. Claims no more items.
  void Stop(TimePoint now);
  // Whether no item is claimed. An item counts as claimed until its release or
  // its result has been written.
  bool IsIdle() const { return runs_.empty(); }
  // Whether some job may have items that are not done.
  bool HasOpenJob() const;
  const Counters& counters() const { return counters_; }

 private:
  using ItemKey = std::pair<std::string, size_t>;  // job and index

  enum class RunState {
    kLoading,   // the request or partial result is being read
    kPaused,    // waiting for a free slot
    kAsking,    // waiting for the right to try its quarantined prompt
    kRunning,   // a call to the backend server is running
    kStoring,   // the text of the result is being written to an object
    kListing,   // the result is being written
    kReleasing  // the claim is being released
  };
  struct Run {
    RunState state = RunState::kLoading;
    TimePoint state_since{};
    TimePoint last_event_at{};  // of the item; before the first, of the claim
    platform::SubmittedItem item;
    PromptParts prompt_parts;
    bool has_item = false;
    PartialRun progress;
    int failures = 0;
    // Runs in a row that broke before their first event.
    int early_breaks = 0;
    // Set while the run tries a quarantined part of its prompt again.
    std::optional<TrialGrant> trial;
    // Whether the quarantine knows that the answer has gone on for long.
    bool is_progress_noted = false;
    TimePoint first_event_at{};
    std::chrono::milliseconds lease_end{0};
    bool is_renewing = false;
    // State of the current call to the backend server.
    OutboundCallId outbound_id{0};
    std::string backend_id;  // the backend server that the call was sent to
    int status = 0;
    bool is_declined = false;
    bool ends_with_connection = false;  // see BackendResponseHead
    // The response belongs to another request, is unsigned, or has events out
    // of order; what follows is ignored.
    bool is_response_invalid = false;
    std::string response_problem;
    bool is_text_too_long = false;
    SseEventSplitter event_splitter;
    bool has_run_event = false;    // the current run sent a complete event
    TimePoint last_progress_at{};  // of the head or a complete event
    TimePoint started_at{};
  };

  void RequestLoadReport(TimePoint now);
  void OnReportHead(const CallHead& head, TimePoint asked_at);
  void OnLoadReport(const BackendLoad& load, TimePoint now);
  // Stops up to `count` runs.
  void PreemptRuns(int count, TimePoint now);
  // Returns the local backend server if it may get work, or nullptr.
  BackendDirectory::Backend* LocalBackend();
  int CountRunning() const;
  // Number of claimed items that are loading or waiting for a free slot.
  int CountPending() const;

  void DropObsoleteRuns(TimePoint now);
  // Returns the reason why the items of the job that are not finished must be
  // given up, or nullopt: its route was removed, or its retention time is over.
  // Nothing of such a job is started any more.
  std::optional<std::string> GiveUpReason(const JobTable::Entry& entry,
                                          TimePoint now) const;
  // Lists unfinished items of one job as given up if there is a reason.
  void GiveUpJob(TimePoint now);
  // Whether the item is not listed and no worker holds it.
  bool CanGiveUp(const BulkJob& job, size_t index, TimePoint now) const;
  bool HasItemToGiveUp(const BulkJob& job, TimePoint now) const;
  // Lists up to a limit of the job's unfinished items as given up, without
  // those that a worker holds.
  void GiveUpItems(const std::string& job,
                   const std::string& reason,
                   std::vector<std::string> item_ids);
  void Claim(int count, TimePoint now);
  std::optional<std::string> ChooseJob(TimePoint now);
  // Whether the random delay before claiming items of this version of the job
  // is over. Starts the delay when the version is new.
  bool IsClaimDelayOver(const std::string& job,
                        std::uint64_t version,
                        TimePoint now);
  // Pace of the local backend server for runs, 1 if it sends no figures.
  double LocalPace(TimePoint now);
  void NoteLocalPace(const std::optional<BackendLoad>& load, TimePoint now);
  // Whether items of the job are left to other workers, because they would end
  // in time on a backend server of the usual pace but not on the local one.
  // This applies for a limited time and once for each job.
  bool IsLeftToOthers(const std::string& job,
                      std::chrono::milliseconds time_left,
                      TimePoint now);
  bool IsClaimable(const std::string& job,
                   size_t index,
                   const JobItemState& item,
                   std::chrono::milliseconds store_now) const;
  void OnClaimed(const std::string& job,
                 const std::vector<size_t>& items,
                 TimePoint now);
  // Reads the requests of claimed items of one job.
  void LoadItems(const std::string& job, const std::vector<size_t>& items);
  void OnItemsLoaded(const std::string& job,
                     const std::vector<size_t>& items,
                     Result<SubmissionReader::Items> loaded);
  // Reads the partial result of an item, if there is one.
  void LoadProgress(const ItemKey& key);
  // Records that items could not be read. Nothing is claimed for a growing,
  // random time, because the other workers failed at the same moment.
  void NoteLoadFailed(TimePoint now);
  // Returns the run of the item if it is in this state, or nullptr.
  Run* FindRun(const ItemKey& key, RunState state);
  void StartPausedRuns(int count, TimePoint now);
  void StartRun(const ItemKey& key, Run& run, TimePoint now);
  // Whether the run may be sent. If backend servers crash on its prompt, holds
  // the item, or asks for the right to try it again.
  bool IsAdmitted(const ItemKey& key, Run& run, TimePoint now);
  // Whether another item runs that crashes accuse together with this one. The
  // items are run one after the other, or on different backend servers, so that
  // the next crash or answer tells which of them is sound.
  bool RunsBesideSuspect(const Run& run) const;
  void OnTrialAnswer(const ItemKey& key, const PromptTrials::Answer& answer);
  // Ends the trial of the run. Its right is given back if no backend server got
  // the request.
  void EndTrial(Run& run, bool was_received);
  // Stops the run but keeps its claim until its prompt may be tried, at most
  // for `hold_time`, so that no worker runs the item. The claim ends with the
  // retention time of the job at the latest, so that the item can be given up
  // then.
  void HoldItem(const ItemKey& key,
                Run& run,
                const PromptTrials::Refused& refusal,
                TimePoint now);
  // Ends the holds of items that may be looked at again.
  void EndHolds(TimePoint now);
  // Tells the quarantine how the answer of the run ended.
  void NoteAnswerEnd(const Run& run, const CallEnd& end, TimePoint now);
  void OnEvent(const ItemKey& key, CallEvent& event);
  void AppendEvents(Run& run, const std::string& bytes, TimePoint now);
  void OnEnd(const ItemKey& key, Run& run, const CallEnd& end, TimePoint now);
  // Whether the run has sent all events of its item.
  static bool IsRunComplete(const Run& run, const CallEnd& end);
  // Whether the backend server dropped the connection inside the answer.
  static bool IsAnswerCut(const Run& run, const CallEnd& end);
  // Whether the connection of the run broke before its first event, as when
  // the backend server crashes on the item.
  static bool IsBrokenBeforeEvent(const Run& run, const CallEnd& end);
  void Pause(Run& run, TimePoint now);
  // Releases the claims of items that do not get on here, so that a worker
  // whose runs all fail does not keep them.
  void ReleaseStalledRuns(TimePoint now);
  // Claims nothing for a time that grows with each call since the last success.
  void PauseClaims(TimePoint now);
  // Records that the local backend server failed to run the item.
  void NoteRunFailed(const ItemKey& key, TimePoint now);
  void FinishItem(const ItemKey& key,
                  Run& run,
                  bool is_complete,
                  const std::string& reason,
                  TimePoint now);
  // Writes a text that is too long for a row to an object, then lists it.
  void StoreText(const ItemKey& key, Run& run, ItemResult result);
  void ListResult(const ItemKey& key, const ItemResult& result);
  void ReleaseClaim(const ItemKey& key,
                    Run& run,
                    const std::string& reason,
                    TimePoint now);
  void RenewClaims(TimePoint now);
  // Returns the route of the job, or nullptr if the configuration has no such
  // route for batch jobs.
  const ServingRoute* FindRoute(const BulkJob& job) const;
  // Whether the local backend server belongs to a service of the route.
  bool IsServedLocally(const ServingRoute& route);

  Options options_;
  JobTable& jobs_;
  JobWriter& writer_;
  StoreClient& store_;
  StoreTransferQueue& transfers_;
  SubmissionReader submissions_{transfers_};
  BackendDirectory& backends_;
  PromptQuarantine& quarantine_;
  PromptTrials& trials_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  ServingConfigPtr config_;
  std::mt19937_64 random_;
  std::map<ItemKey, Run> runs_;
  // When items of a job may be claimed, and the job version for which this time
  // was drawn.
  struct ClaimTime {
    std::uint64_t version = 0;
    TimePoint at{};
  };
  std::map<std::string, ClaimTime> claim_times_;
  // Items that failed on the local backend server, and until when they are left
  // to the other workers.
  std::map<ItemKey, TimePoint> failed_locally_;
  // Items that this worker holds without a run because of their prompts.
  struct Hold {
    PromptParts prompt_parts;
    TimePoint until{};
  };
  std::map<ItemKey, Hold> holds_;
  // Until when the items of a job are left to other workers.
  std::map<std::string, TimePoint> left_until_;
  int consecutive_failures_ = 0;
  int consecutive_load_failures_ = 0;
  bool is_claiming_ = false;
  bool is_stopping_ = false;
  bool is_report_pending_ = false;
  bool is_giving_up_ = false;
  TimePoint next_report_{};
  TimePoint next_claim_{};
  TimePoint next_give_up_check_{};
  Counters counters_;
};

}  // namespace carawayrelay
