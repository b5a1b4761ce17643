#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "connection/runner_entry.h"
#include "process/store/store_call.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// What a process believes about each backend server: its entry in the store,
// and what the process's own calls have shown.
class RunnerDirectory {
 public:
  struct Runner {
    RunnerEntry entry;
    TimePoint cold_until{};
    // Set while the entry is missing but may still come back.
    std::optional<TimePoint> gone_at;
    // Another start of a backend server has its address now.
    bool is_replaced = false;
    int running = 0;  // calls of this process
    // Work of others, from the newest load report.
    double others = 0;
    TimePoint others_at{};
    // Not chosen before, unless there is no other.
    TimePoint avoid_until{};
    int failures = 0;  // in a row
    // Failures that this process saw, each counting less with its age.
    double trouble = 0;
    TimePoint trouble_at{};
  };

  struct Query {
    std::string service;
    std::string zone;  // of this process
    std::set<std::string> excluded;
  };

  // How many entries are in each state; an entry may be in several.
  struct Counts {
    int usable = 0;
    int draining = 0;
    int replaced = 0;
    int lapsed = 0;
    int avoided = 0;
    int cold = 0;
  };

  explicit RunnerDirectory(std::uint64_t seed) : random_(seed) {}

  // Applies rows of the table of entries. `regained_at` is when contact with
  // the store came back after its newest loss: entries that vanish soon after
  // it are kept for a while, because the outage may have removed entries of
  // backend servers that live.
  void Apply(const std::vector<StoredRow>& rows,
             bool is_full,
             std::optional<TimePoint> regained_at,
             TimePoint now);
  // Zones that get no new work.
  void SetEvacuated(std::set<std::string> zones) {
    evacuated_ = std::move(zones);
  }
  // Forgets entries that did not come back.
  void Tick(TimePoint now);

  // The backend server that should get the next request, or nullptr.
  Runner* Choose(const Query& query, TimePoint now);
  Runner* Find(const std::string& id);
  // The backend server that registered the address, or nullptr.
  Runner* FindByAddress(const std::string& address);
  bool IsUsable(const Runner& runner) const;
  size_t size() const { return runners_.size(); }
  Counts CountStates(TimePoint now) const;

  void NoteLoad(Runner& runner, const RunnerLoad& load, TimePoint now);
  void NoteSuccess(Runner& runner);
  // The backend server failed or was silent; it is avoided for longer each
  // time.
  void NoteFailure(Runner& runner, const std::string& reason, TimePoint now);
  // What this process saw of failures, for the other frontends; empty when
  // there is nothing to tell.
  std::string MakeEvidence(TimePoint now) const;
  // Takes what the other frontends saw: rows with their node as key.
  void ApplyEvidence(const std::vector<StoredRow>& rows, TimePoint now);
  // The backend server had no room.
  void NoteFull(Runner& runner, TimePoint now);
  // Another backend server answered at the address. The entry is not used
  // again until it changes.
  void NoteReplaced(Runner& runner, const std::string& reason);

 private:
  void Put(const StoredRow& row, TimePoint now);
  void Remove(const std::string& id,
              std::optional<TimePoint> regained_at,
              TimePoint now);
  // Marks the older of two entries with one address: entries of backend servers
  // that crashed stay for some seconds, and only the newest can be listening.
  void MarkReplaced(Runner& runner);
  double Score(const Runner& runner, const Query& query, TimePoint now);
  static double TroubleOf(const Runner& runner, TimePoint now);
  // How much the failures that this process and others saw count against it.
  double TroublePenalty(const Runner& runner, TimePoint now) const;

  // What one other frontend saw, by id of the backend server.
  struct Evidence {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    std::map<std::string, double> trouble;
  };

  std::mt19937_64 random_;
  std::map<std::string, Runner> runners_;
  std::set<std::string> evacuated_;
  std::map<std::string, Evidence> evidence_;  // by node
};

}  // namespace carawayrelay
