#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "connection/backend_registration.h"
#include "process/store/store_call.h"
#include "request/boot_clock.h"
#include "request/token_bucket.h"

namespace carawayrelay {

// What a process believes about each backend server: its entry in the store,
// and what the process's own calls have shown.
class BackendDirectory {
 public:
  struct Backend {
    BackendRegistration registration;
    TimePoint cold_until{};
    // Set while the entry is missing but may still come back.
    std::optional<TimePoint> expires_at;
    // Another start of a backend server has its address now.
    bool is_replaced = false;
    int own_calls = 0;  // calls of this process
    // Work of others, from the newest load report.
    double other_load = 0;
    TimePoint other_load_at{};
    // Not chosen before, unless there is no other.
    TimePoint avoid_until{};
    int consecutive_failures = 0;  // in a row
    // What this process may still send while the backend server is cold.
    std::optional<TokenBucket> cold_tokens;
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

  explicit BackendDirectory(std::uint64_t seed) : random_(seed) {}

  // Applies rows of the table of entries. `regained_at` is when contact with
  // the store came back after its newest loss: entries that vanish soon after
  // it are kept for a while, because the outage may have removed entries of
  // backend servers that live.
  void Apply(const std::vector<StoredRow>& rows,
             bool is_full,
             std::optional<TimePoint> regained_at,
             TimePoint now);
  // Requests per second that a cold backend server of each service bears from
  // all `members` frontends together. Each frontend takes an equal part.
  void SetColdLimits(std::map<std::string, double> per_second, size_t members);
  // Zones that get no new work.
  void SetEvacuated(std::set<std::string> zones) {
    evacuated_ = std::move(zones);
  }
  // Forgets entries that did not come back.
  void Tick(TimePoint now);

  // The backend server that should get the next request, or nullptr.
  Backend* Choose(const Query& query, TimePoint now);
  Backend* Find(const std::string& id);
  // The backend server that registered the address, or nullptr.
  Backend* FindByAddress(const std::string& address);
  bool IsUsable(const Backend& backend) const;
  size_t size() const { return backends_.size(); }
  Counts CountStates(TimePoint now) const;

  // A call goes to the backend server.
  void NoteSent(Backend& backend, TimePoint now);
  void NoteLoad(Backend& backend, const BackendLoad& load, TimePoint now);
  void NoteSuccess(Backend& backend);
  // The backend server failed or was silent; it is avoided for longer each
  // time.
  void NoteFailure(Backend& backend, const std::string& reason, TimePoint now);
  // The backend server had no room.
  void NoteFull(Backend& backend, TimePoint now);
  // Another backend server answered at the address. The entry is not used
  // again until it changes.
  void NoteReplaced(Backend& backend, const std::string& reason);

 private:
  void Put(const StoredRow& row, TimePoint now);
  void Remove(const std::string& id,
              std::optional<TimePoint> regained_at,
              TimePoint now);
  // Whether a cold backend server may get one more request now.
  bool HasColdCapacity(Backend& backend, TimePoint now);
  // Marks the older of two entries with one address: entries of backend servers
  // that crashed stay for some seconds, and only the newest can be listening.
  void MarkOlderReplaced(Backend& backend);
  double Cost(const Backend& backend, const Query& query, TimePoint now);

  std::mt19937_64 random_;
  std::map<std::string, Backend> backends_;
  std::set<std::string> evacuated_;
  // By service, for this frontend alone.
  std::map<std::string, double> cold_per_second_;
};

}  // namespace carawayrelay
