#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection/health_report.h"
#include "process/forward/attempt_outcome.h"
#include "process/health/evidence_window.h"
#include "process/health/health_judgement.h"
#include "process/health/reported_evidence.h"
#include "process/health/server_health.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Decides which backend servers get fewer requests or none because they fail,
// by the outcomes of this process's own requests and the reports of other
// frontends. At most half of the backend servers of a service are ejected or
// probed at any time. Used on the event loop thread.
class OutlierDetector {
 public:
  struct Server {
    std::string id;
    std::string service;
    ServerKey key{0};

    bool operator==(const Server&) const = default;
  };

  struct Counts {
    int reduced = 0;
    int ejected = 0;
    int probing = 0;
    int distrusted = 0;  // reporters that do not count
  };

  struct Counters {
    std::uint64_t ejected = 0;
    std::uint64_t returned = 0;
    std::uint64_t panics = 0;  // ejections that the limit prevented
  };

  explicit OutlierDetector(std::uint64_t seed) : random_(seed) {}

  // Sets the backend servers that may get requests. One that is new, or has a
  // new key, starts without a history.
  void SetServers(const std::vector<Server>& servers, TimePoint now);
  // Sets the number of other frontends.
  void SetPeers(size_t peers) { peers_ = peers; }
  void NoteOutcome(const AttemptOutcome& outcome, TimePoint now);
  // Records that a running attempt made no progress for too long. Its outcome
  // says so in `was_silent` and does not count as a second failure.
  void NoteSilence(const std::string& id, TimePoint now);
  // Applies a report of another frontend. Returns the part that was new: the
  // first failures that the reporter saw of a backend server, and failures of
  // those that are ejected or probed, or std::nullopt
  // if this report or a later one was applied before. Unknown backend servers
  // are ignored.
  std::optional<std::vector<ServerEvidence>> Apply(const HealthReport& report,
                                                   TimePoint now);
  // Updates all states. Must be called often; does nothing when it was called
  // less than 100 ms ago, or 20 ms if something new was reported since.
  void Tick(TimePoint now);
  // Whether there were failures or states other than in use at the latest
  // Tick().
  bool has_findings() const { return has_findings_; }

  ServerHealth Find(const std::string& id) const;
  // Whether any backend server of the service failed in the window.
  bool HasRecentFailures(const std::string& service) const;
  // Whether the backend server answered in the window, and nobody who counts
  // saw it fail, as of the latest Tick().
  bool IsProven(const std::string& id) const;
  // Returns what this frontend tells the others: its failures, and its answers
  // of backend servers of which others reported failures; the latest failures
  // first. Empty while it accuses far more backend servers than the others do.
  std::vector<ServerEvidence> EvidenceToReport(TimePoint now) const;
  Counts CountStates() const;
  const Counters& counters() const { return counters_; }

 private:
  struct Entry {
    std::string service;
    ServerKey key{0};
    EvidenceWindow own;
    ServerHealth health;
    // As of the latest update.
    ServerSummary summary;
    // Number of ejections in a row, which determines the time of the next one.
    int ejections = 0;
    double badness = 0;  // at the ejection
    // Only evidence later than this confirms another ejection.
    TimePoint evidence_from{};
    TimePoint returned_at{};
  };
  struct Service {
    std::vector<std::pair<const std::string, Entry>*> servers;
    bool has_failures = false;  // in the window
    TimePoint next_panic_log{};
  };

  // Whether anything of the latest window needs an update.
  bool IsQuiet(TimePoint now) const;
  void UpdateService(Service& service, TimePoint now);
  ServerSummary Summarize(const Entry& entry, TimePoint now) const;
  // Ends ejections and probing that are over.
  void UpdatePhase(const std::string& id, Entry& entry, TimePoint now);
  // Ejects the backend server unless half of its service is out already. A
  // clearly less bad one of those returns then.
  void EjectOrReduce(const std::string& id,
                     Entry& entry,
                     const HealthVerdict& verdict,
                     Service& service,
                     TimePoint now);
  void Eject(const std::string& id,
             Entry& entry,
             double badness,
             TimePoint now);
  void Return(const std::string& id,
              Entry& entry,
              const char* reason,
              TimePoint now);
  // Returns least bad ones until at most half of the service is out.
  void EnforceLimit(Service& service, TimePoint now);
  size_t CountAccused(TimePoint now) const;

  std::map<std::string, Entry> servers_;  // by id
  std::unordered_map<ServerKey, std::string> ids_;
  std::map<std::string, Service> services_;
  ReportedEvidence reported_;
  size_t peers_ = 0;
  bool is_own_link_suspect_ = false;
  // Of the latest failure, own or reported.
  TimePoint last_failure_{};
  TimePoint updated_at_{};
  TimePoint next_update_{};
  bool has_findings_ = false;
  std::mt19937_64 random_;
  Counters counters_;
};

}  // namespace carawayrelay
