#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "connection/backend_registration.h"
#include "process/forward/leaving_backends.h"
#include "process/pace/observed_pace.h"
#include "process/pace/server_pace.h"
#include "process/pace/slow_start.h"
#include "process/rollout/version_use.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"
#include "request/token_bucket.h"

namespace carawayrelay {

// The state of each backend server as far as this process knows it: the
// registration in the store, and what the process's own calls have shown. Must
// be used on the event loop thread only.
class BackendDirectory {
 public:
  struct Backend {
    BackendRegistration registration;
    TimePoint cold_until{};
    // When the backend server is removed from the directory. Set only while the
    // registration is missing from the store but may still be written again.
    std::optional<TimePoint> expires_at;
    // Another backend server process uses the address now. No requests are sent
    // until the registration gets a higher version.
    bool is_replaced = false;
    int own_calls = 0;  // running calls of this process
    // Running and waiting requests of other processes at `other_load_at`, from
    // the newest load report.
    double other_load = 0;
    TimePoint other_load_at{};
    ServerPace pace;
    SlowStart slow_start;
    // Until then the backend server is chosen only if there is no other.
    TimePoint avoid_until{};
    int consecutive_failures = 0;
    // Limits the requests that this process sends while the backend server is
    // cold; empty when no limit applies.
    std::optional<TokenBucket> cold_tokens;
  };

  struct Query {
    std::string service;
    std::string zone;  // of this process
    std::set<std::string> excluded;
    // Whether the request may run more than once.
    bool is_repeatable = true;
  };

  // Returns what the health of a backend server adds to its cost for a request;
  // at least 0.
  using HealthPenalty =
      std::function<double(const Backend&, const Query&, TimePoint now)>;

  // Number of registrations in each state; one registration may be in several
  // states. The names are label values of a metric.
  struct Counts {
    int usable = 0;
    int draining = 0;
    int leaving = 0;  // said so in an answer
    int replaced = 0;
    int lapsed = 0;  // missing from the store, removed after a grace period
    int avoided = 0;
    int cold = 0;
    int slow_start = 0;
    int with_pace = 0;  // sent a pace figure recently
  };

  // Tells how a rollout allows a backend server to be used now.
  using VersionRule = std::function<VersionUse(const BackendRegistration&)>;
  using OnSent = std::function<void(const BackendRegistration&)>;

  explicit BackendDirectory(std::uint64_t seed) : random_(seed) {}

  // Applies rows of the registration table. If `is_full`, registrations that
  // are not in `rows` are removed. `reconnected_at` is when contact with the
  // store was restored after its latest loss. A registration that is removed
  // in the grace period after that time is kept until the period ends, unless
  // it is draining: registrations of backend servers that are still running may
  // have expired during the outage.
  void Apply(const std::vector<StoredRow>& rows,
             bool is_full,
             std::optional<TimePoint> reconnected_at,
             TimePoint now);
  // Sets, for each service, the requests per second that one cold backend
  // server can take from all `members` frontends together. Each frontend uses
  // an equal part.
  void SetColdLimits(std::map<std::string, double> per_second, size_t members);
  // Sets the availability zones that are out of service: their backend servers
  // get no new requests.
  void SetEvacuated(std::set<std::string> zones);
  void SetHealthPenalty(HealthPenalty penalty) {
    health_penalty_ = std::move(penalty);
  }
  // Sets the rule for versions, and what is called for each request that is
  // sent. Without a rule all versions are used alike.
  void SetVersionRule(VersionRule rule, OnSent on_sent) {
    version_rule_ = std::move(rule);
    on_sent_ = std::move(on_sent);
  }
  // Without slow start, backend servers that have just started or failed get
  // requests like all others, and only the figures that they send tell their
  // pace.
  void DisableSlowStart() { has_slow_start_ = false; }
  // Removes registrations whose grace period ended before they were written
  // again.
  void Tick(TimePoint now);

  // Returns the backend server of the service with the lowest cost, or nullptr
  // if all are excluded, not usable, or cold and at their limit. The directory
  // owns the result; Apply() and Tick() may invalidate it.
  Backend* Choose(const Query& query, TimePoint now);
  Backend* Find(const std::string& id);
  // Returns the backend server that registered the address, preferably a usable
  // one, or nullptr.
  Backend* FindByAddress(const std::string& address);
  bool IsUsable(const Backend& backend) const;
  // Whether a backend server of the service sent a pace figure recently.
  bool HasPaceFigures(const std::string& service, TimePoint now) const;
  // The same as IsUsable(), whatever the rule for versions says.
  bool IsInService(const Backend& backend) const;
  VersionUse VersionUseOf(const Backend& backend) const {
    return version_rule_ ? version_rule_(backend.registration)
                         : VersionUse::kNormal;
  }
  size_t size() const { return backends_.size(); }
  // All backend servers by id, also those that are not usable.
  const std::map<std::string, Backend>& all() const { return backends_; }
  Counts CountStates(TimePoint now) const;

  // Records that a request is sent to the backend server.
  void NoteSent(Backend& backend, TimePoint now);
  void NoteLoad(Backend& backend, const BackendLoad& load, TimePoint now);
  // Records how long an attempt took and whether it ended well.
  void NoteAttempt(const AttemptOutcome& outcome, TimePoint now);
  void NoteSuccess(Backend& backend);
  // Records that the backend server failed or stopped responding. The time for
  // which it is avoided doubles with each consecutive failure, up to a limit.
  void NoteFailure(Backend& backend, const std::string& reason, TimePoint now);
  // Records that the backend server had no free slot.
  void NoteFull(Backend& backend, TimePoint now);
  // Records that the backend server announced its shutdown in an answer. It
  // gets no more requests, whatever its registration says.
  void NoteLeaving(const std::string& id, TimePoint now);
  // Records that another backend server responded at the address. The
  // registration is not used again until it gets a higher version.
  void NoteReplaced(Backend& backend, const std::string& reason);

 private:
  void Put(const StoredRow& row, TimePoint now);
  void Remove(const std::string& id,
              std::optional<TimePoint> reconnected_at,
              TimePoint now);
  // Whether a backend server may get one more request now: always, unless it is
  // cold and its service has a limit for cold backend servers.
  bool HasColdCapacity(Backend& backend, TimePoint now);
  // Marks the older of two registrations with the same address as replaced.
  // Registrations of crashed backend servers stay in the store for some
  // seconds, and only the backend server with the newest one can be listening.
  void MarkOlderReplaced(Backend& backend);
  // Returns CandidateCost() plus a random tie-break; lower is better.
  double Cost(const Backend& backend,
              const Query& query,
              bool is_limited,
              TimePoint now);
  void BeginSlowStart(Backend& backend, const std::string& reason);

  std::mt19937_64 random_;
  std::map<std::string, Backend> backends_;
  LeavingBackends leaving_;
  std::set<std::string> evacuated_;
  HealthPenalty health_penalty_;  // may be empty
  bool has_slow_start_ = true;
  VersionRule version_rule_;
  OnSent on_sent_;
  // Requests per second to one cold backend server, by service; this
  // frontend's part only.
  std::map<std::string, double> cold_per_second_;
  size_t members_ = 1;  // frontends
  // Whether the registrations were read once. Backend servers in the first list
  // have not just started.
  bool has_list_ = false;
  ObservedPace observed_pace_;
};

}  // namespace carawayrelay
