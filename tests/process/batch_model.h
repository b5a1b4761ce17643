#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/process.h"
#include "carawayrelay/version.h"
#include "process/batch/batch_dispatcher.h"
#include "process/batch/batch_store_worker.h"
#include "process/batch/job_store.h"

namespace carawayrelay {

// Pseudo-random choices of a run. After `choices` of them, all are 0: no fault.
class Script {
 public:
  Script(std::uint64_t seed, int choices) : random_(seed), left_(choices) {}

  int Next(int choices) {
    return left_ > 0 && --left_ > 0
               ? static_cast<int>(random_() %
                                  static_cast<std::uint64_t>(choices))
               : 0;
  }
  bool OneIn(int n) { return Next(n) == 1; }
  void End() { left_ = 0; }

 private:
  std::mt19937_64 random_;
  int left_;
};

// In-memory tables and objects with the faults that the store may have.
class ModelStore {
 public:
  explicit ModelStore(Script& script) : script_(script) {}

  // Called before each operation, to let other processes act in between.
  std::function<void()> interleave;
  // Writes that break the rules for chunk rows and result objects.
  std::vector<std::string> violations;

  StoreAccess Access() {
    using Rows = std::vector<KeyedRow>;
    using Text = const std::string&;
    return {
        .read_row = [this](Text t, Text k) { return ReadRow(t, k); },
        .list_rows = [this](Text t, Text p, Text after, size_t limit)
            -> Result<Rows> { return ListRows(t, p, after, limit); },
        .create_row = [this](Text t, Text k,
                             Text v) { return Write(t, k, v, ""); },
        .update_row = [this](Text t, Text k, Text v,
                             Text etag) { return Write(t, k, v, etag); },
        .delete_row = [this](Text t, Text k,
                             Text etag) { return Delete(t, k, etag); },
        .write_object = [this](Text n, Text d) { return WriteObject(n, d); },
        .read_object = [this](Text n) { return ReadObject(n); },
    };
  }

  const std::map<std::string, Row>& Table(const std::string& name) {
    return tables_[name];
  }

 private:
  static Error Fails(ErrorCode code) { return {code, "model"}; }

  bool ReadFails() {
    if (interleave) {
      interleave();
    }
    return script_.OneIn(40);
  }

  Result<Row> ReadRow(const std::string& table, const std::string& key) {
    if (ReadFails()) {
      return Fails(ErrorCode::kUnavailable);
    }
    const auto it = tables_[table].find(key);
    return it == tables_[table].end() ? Result<Row>(Fails(ErrorCode::kNotFound))
                                      : it->second;
  }

  Result<std::vector<KeyedRow>> ListRows(const std::string& table,
                                         const std::string& prefix,
                                         const std::string& after,
                                         size_t limit) {
    if (ReadFails()) {
      return Fails(ErrorCode::kUnavailable);
    }
    std::vector<KeyedRow> rows;
    for (const auto& [key, row] : tables_[table]) {
      if (key.starts_with(prefix) && key > after && rows.size() < limit) {
        rows.push_back({key, row});
      }
    }
    return rows;
  }

  // Performs a write with a fault: none, refused, lost request or lost
  // response. The store client reads a row back after a lost response, so
  // kUnknown stands for the case in which that read failed as well.
  template <class T, class Effect>
  Result<T> WithFault(Effect effect) {
    if (interleave) {
      interleave();
    }
    switch (script_.Next(24)) {
      case 1:
        return Fails(ErrorCode::kUnavailable);
      case 2:
        return Fails(ErrorCode::kUnknown);
      case 3:
      case 4:
        static_cast<void>(effect());
        return Fails(ErrorCode::kUnknown);
      default:
        return effect();
    }
  }

  Result<std::string> Write(const std::string& table,
                            const std::string& key,
                            const std::string& value,
                            const std::string& etag) {
    return WithFault<std::string>([&]() -> Result<std::string> {
      const auto it = tables_[table].find(key);
      const std::string old = it == tables_[table].end() ? "" : it->second.etag;
      if (old != etag) {
        return Fails(ErrorCode::kConflict);
      }
      if (table == "chunks") {
        CheckChunk(key, it == tables_[table].end() ? "" : it->second.value,
                   value);
      }
      tables_[table][key] = {value, std::to_string(++etag_)};
      return std::to_string(etag_);
    });
  }

  void CheckChunk(const std::string& key,
                  const std::string& old_value,
                  const std::string& new_value) {
    const ChunkRecord old =
        old_value.empty() ? ChunkRecord{} : ParseChunkRecord(old_value).value();
    const ChunkRecord next = ParseChunkRecord(new_value).value();
    const bool is_claim = next.state == ChunkState::kClaimed;
    if (old.state == ChunkState::kDone) {
      violations.push_back(key + " changed after its commit");
    }
    if (is_claim ? next.fence <= old.fence : next.fence != old.fence) {
      violations.push_back(key + " has a wrong fence: only a claim raises it");
    }
  }

  Result<void> Delete(const std::string& table,
                      const std::string& key,
                      const std::string& etag) {
    return WithFault<void>([&]() -> Result<void> {
      const auto it = tables_[table].find(key);
      if (it == tables_[table].end() || it->second.etag != etag) {
        return Fails(ErrorCode::kConflict);
      }
      tables_[table].erase(it);
      return Success();
    });
  }

  Result<void> WriteObject(const std::string& name, const std::string& data) {
    return WithFault<void>([&]() -> Result<void> {
      if (objects_.try_emplace(name, data).first->second != data) {
        violations.push_back(name + " was overwritten with different data");
        return Fails(ErrorCode::kConflict);
      }
      return Success();
    });
  }

  Result<std::string> ReadObject(const std::string& name) {
    if (ReadFails()) {
      return Fails(ErrorCode::kUnavailable);
    }
    const auto it = objects_.find(name);
    return it == objects_.end()
               ? Result<std::string>(Fails(ErrorCode::kNotFound))
               : it->second;
  }

  Script& script_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::map<std::string, std::string> objects_;
  std::uint64_t etag_ = 0;
};

// Three entries, each with an agent, that work on jobs in one ModelStore. Time
// passes only between steps.
class BatchModel {
 public:
  explicit BatchModel(std::uint64_t seed)
      : script_(seed, kChoices), store_(script_) {
    spdlog::set_level(spdlog::level::off);
    store_.interleave = [this] { Interleave(); };
    for (int i = 0; i < 3; ++i) {
      entries_.push_back(MakeEntry("entry" + std::to_string(i)));
    }
  }

  // Creates a job with the given number of items and of items per chunk.
  void CreateJob(const std::string& name, int items, std::uint64_t chunk) {
    std::string text;
    for (int i = 0; i < items; ++i) {
      const std::string id =
          name + (i % 5 == 3 ? "-bad-" : "-") + std::to_string(i);
      text += R"({"custom_id":")" + id +
              R"(","method":"POST","url":"/v1/chat/completions",)"
              R"("body":{"model":"m"}})"
              "\n";
      expected_[name].push_back(id);
    }
    JobStore jobs(store_.Access(), {.segment_bytes = 500});
    const std::string workspace = "w" + std::to_string(ids_.size() % 2);
    // A client repeats a request that failed.
    Result<FileRecord> file = Fails();
    while (!file) {
      file = jobs.SaveFile(workspace, "f", text, {"m"}, kWallTime);
    }
    const JobRecord job =
        carawayrelay::CreateJob({.workspace = workspace,
                                 .name = name,
                                 .input = file.value(),
                                 .items_per_chunk = chunk},
                                JobId(workspace, name, ""), kWallTime);
    while (!jobs.SaveJob(job)) {
    }
    ids_[name] = {workspace, job.id};
  }

  // Performs one generated action: of an entry with its agent, or a fault.
  void Step() {
    now_ += std::chrono::milliseconds(script_.Next(60) * 10);
    Entry& entry = entries_[static_cast<size_t>(script_.Next(3))];
    switch (script_.Next(48)) {
      case 1:
        entry = MakeEntry(entry.node);  // killed and replaced on its VM
        return;
      case 2:
        entry = MakeEntry("entry" + std::to_string(next_node_++));
        return;
      case 3:
        entry.paused_until = now_ + std::chrono::seconds(1 + script_.Next(20));
        return;
      case 4:
        Reconnect(entry);
        return;
      case 5:
        CancelOneJob();
        return;
      default:
        break;
    }
    RunEntry(entry);
  }

  // Runs without further faults until no job is active. Returns false when a
  // job is still active after 40000 rounds of 20 ms model time.
  bool Finish() {
    script_.End();
    for (int i = 0; i < 40000; ++i) {
      now_ += std::chrono::milliseconds(20);
      for (Entry& entry : entries_) {
        RunEntry(entry);
      }
      if (store_.Table("active_jobs").empty()) {
        return true;
      }
    }
    return false;
  }

  // Compares the visible results with the jobs. Returns a description of each
  // difference and of each broken rule.
  std::vector<std::string> FindProblems() {
    std::vector<std::string> problems = store_.violations;
    problems.insert(problems.end(), violations_.begin(), violations_.end());
    for (const auto& [name, key] : ids_) {
      CheckJob(name, key, problems);
    }
    return problems;
  }

  ~BatchModel() { spdlog::set_level(spdlog::level::info); }

 private:
  static constexpr int kChoices = 100000;
  static constexpr std::chrono::sys_seconds kWallTime{std::chrono::seconds(1)};

  struct Running {
    ConnectionId connection;
    Submit submit;
  };

  struct Entry {
    std::string node;
    // On the heap, because the worker refers to it when the entry is moved.
    std::unique_ptr<std::deque<BatchEvent>> events;
    std::unique_ptr<BatchStoreWorker> worker;
    std::unique_ptr<BatchDispatcher> dispatcher;
    std::deque<BatchStoreRequest> requests;
    std::deque<Running> running;
    ConnectionId connection{0};
    TimePoint paused_until;  // runs nothing before this time
  };

  static Error Fails() { return {ErrorCode::kUnavailable, ""}; }

  Entry MakeEntry(const std::string& node) {
    Entry entry{.node = node,
                .events = std::make_unique<std::deque<BatchEvent>>()};
    entry.worker = std::make_unique<BatchStoreWorker>(
        BatchStoreWorker::Options{.node = node}, store_.Access(),
        BatchStoreWorker::Sources{
            .clock = [this] { return now_; },
            .wall_clock = [] { return kWallTime; },
            .random_id = [this] { return std::to_string(++random_); }},
        [events = entry.events.get()](BatchEvent event) {
          events->push_back(std::move(event));
        });
    entry.dispatcher = std::make_unique<BatchDispatcher>(
        BatchDispatcher::Options{.max_chunks = 4});
    ConfigDocument document;
    document.workspaces = {{.name = "w0", .rate_per_second = 1, .burst = 1},
                           {.name = "w1", .rate_per_second = 1, .burst = 1}};
    document.routes = {{.name = "m"}};
    entry.events->push_back(BatchConfigChanged{
        ConfigSnapshot::Make(ConfigVersion{1}, ToJson(document)).value()});
    Connect(entry);
    return entry;
  }

  void Connect(Entry& entry) {
    entry.connection = ConnectionId{ToInt(entry.connection) + 1};
    entry.events->push_back(
        LinkUp{.connection = entry.connection, .peer = {.routes = {"m"}}});
  }

  void Reconnect(Entry& entry) {
    entry.events->push_back(LinkDown{entry.connection, "model"});
    entry.running.clear();
    Connect(entry);
  }

  // Lets another process act in the middle of an operation of `acting_`.
  void Interleave() {
    if (is_interleaving_ || script_.Next(20) != 1) {
      return;
    }
    is_interleaving_ = true;
    if (script_.OneIn(8)) {
      CancelOneJob();
    } else {
      Entry& entry = entries_[static_cast<size_t>(script_.Next(3))];
      if (&entry != acting_) {
        RunEntry(entry);
      }
    }
    is_interleaving_ = false;
  }

  void CancelOneJob() {
    // Jobs with other names are never cancelled.
    const auto it = ids_.find(script_.Next(2) == 0 ? "cancel1" : "cancel2");
    if (it == ids_.end() || script_.Next(4) != 1) {
      return;
    }
    const auto& [workspace, id] = it->second;
    JobStore jobs(store_.Access(), {});
    const Result<JobRecord> job = jobs.CancelJob(workspace, id, kWallTime);
    if (job && job.value().state == JobState::kCancelled) {
      cancelled_.try_emplace(it->first, job.value().result_chunks);
    }
  }

  void RunEntry(Entry& entry) {
    if (now_ < entry.paused_until) {
      return;
    }
    Entry* const outer = std::exchange(acting_, &entry);
    if (now_ >= entry.worker->next_renewal()) {
      entry.worker->Renew();
    }
    // A slow store responds only after further decisions of the dispatcher.
    if (!entry.requests.empty() && script_.Next(3) != 1) {
      const BatchStoreRequest request = std::move(entry.requests.front());
      entry.requests.pop_front();
      entry.worker->Perform(request);
    }
    RunAgent(entry);
    entry.events->push_back(Tick{});
    while (!entry.events->empty()) {
      BatchEvent event = std::move(entry.events->front());
      entry.events->pop_front();
      for (BatchAction& action :
           entry.dispatcher->Handle(std::move(event), now_)) {
        Perform(entry, action);
      }
    }
    acting_ = outer;
  }

  void Perform(Entry& entry, BatchAction& action) {
    if (auto* request = std::get_if<BatchStoreRequest>(&action)) {
      entry.requests.push_back(std::move(*request));
      return;
    }
    auto* send = std::get_if<SendToAgent>(&action);
    if (send == nullptr || send->connection != entry.connection) {
      return;
    }
    if (auto* submit = std::get_if<Submit>(&send->message)) {
      CheckOwner(entry, *submit);
      entry.running.push_back({send->connection, std::move(*submit)});
    } else if (const auto* cancel = std::get_if<Cancel>(&send->message)) {
      std::erase_if(entry.running, [&](const Running& running) {
        return running.submit.attempt == cancel->attempt;
      });
    }
  }

  // Checks that an entry does not submit items after its session was marked
  // lapsed or its chunk was claimed by another entry.
  void CheckOwner(const Entry& entry, const Submit& submit) {
    const Row& row = store_.Table("sessions").at(entry.node);
    if (ParseSessionRecord(row.value).value().lapsed) {
      violations_.push_back(entry.node + " submits without a session");
    }
    const std::string key = ChunkKey(submit.chunk->job, submit.chunk->chunk);
    const Row& chunk = store_.Table("chunks").at(key);
    if (ParseChunkRecord(chunk.value).value().fence != submit.chunk->fence) {
      violations_.push_back(entry.node + " submits items of lost chunk " + key);
    }
  }

  void RunAgent(Entry& entry) {
    const auto deliver = [&](Message message) {
      entry.events->push_back(
          LinkMessage{entry.connection, std::move(message)});
    };
    deliver(BatchCapacity{4 - static_cast<int>(entry.running.size())});
    if (entry.running.empty()) {
      return;
    }
    const Submit submit = entry.running.front().submit;
    entry.running.pop_front();
    const AttemptId id = submit.attempt;
    switch (script_.Next(16)) {
      case 1:
        deliver(Refused{id, {RefusalCode::kWindowFull, RunState::kNotRun, ""}});
        return;
      case 2:
        deliver(Refused{id, {RefusalCode::kCancelled, RunState::kRan, ""}});
        return;
      case 3:
        deliver(End{.attempt = id, .parts = 1, .http_status = 200});
        return;
      case 4:
        deliver(End{.attempt = id, .http_status = 500});
        return;
      default:
        deliver(Part{id, 0, "{}"});
        deliver(End{.attempt = id, .parts = 1, .http_status = 200});
    }
  }

  using JobKey = std::pair<std::string, std::string>;

  void CheckJob(const std::string& name,
                const JobKey& key,
                std::vector<std::string>& problems) {
    JobStore jobs(store_.Access(), {});
    const JobRecord job = jobs.ReadJob(key.first, key.second).value();
    std::vector<std::string> seen;
    for (const ResultKind kind : {ResultKind::kOutput, ResultKind::kError}) {
      const std::string lines = jobs.ReadResults(job, kind).value();
      if (lines.find(R"("body":"")") != std::string::npos) {
        problems.push_back(name + " shows an incomplete response");
      }
      std::vector<std::string> ids = CustomIds(lines);
      // The same ids in the order of the items.
      std::vector<std::string> in_order;
      for (const std::string& id : expected_[name]) {
        if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
          in_order.push_back(id);
        }
      }
      if (ids != in_order) {
        problems.push_back(name + " has results out of order or duplicated");
      }
      seen.insert(seen.end(), ids.begin(), ids.end());
    }
    const std::set<std::string> distinct(seen.begin(), seen.end());
    if (distinct.size() != seen.size()) {
      problems.push_back(name + " has an item with two results");
    }
    if (job.state == JobState::kCompleted &&
        seen.size() != expected_[name].size()) {
      problems.push_back(name + " is completed, but lacks results");
    }
    if (job.counts.succeeded + job.counts.failed != seen.size()) {
      problems.push_back(name + " has counts that differ from its results");
    }
    const auto cancelled = cancelled_.find(name);
    if (cancelled != cancelled_.end() &&
        (job.state != JobState::kCancelled ||
         job.result_chunks != cancelled->second)) {
      problems.push_back(name + " changed after its cancellation");
    }
  }

  static std::vector<std::string> CustomIds(const std::string& lines) {
    std::vector<std::string> ids;
    const std::string key = R"("custom_id":")";
    for (size_t at = lines.find(key); at != std::string::npos;
         at = lines.find(key, at)) {
      at += key.size();
      ids.push_back(lines.substr(at, lines.find('"', at) - at));
    }
    return ids;
  }

  Script script_;
  ModelStore store_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Entry> entries_;
  Entry* acting_ = nullptr;
  bool is_interleaving_ = false;
  int next_node_ = 10;
  std::uint64_t random_ = 0;
  std::map<std::string, std::vector<std::string>> expected_;
  std::map<std::string, JobKey> ids_;
  std::map<std::string, std::vector<std::uint64_t>> cancelled_;
  std::vector<std::string> violations_;
};

}  // namespace carawayrelay
