#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/quarantine/crash_report.h"
#include "request/boot_clock.h"
#include "request/prompt_parts.h"

namespace carawayrelay {

// Finds parts of prompts that crash the backend servers that answer them (a
// query of death), so that requests with such a part are no longer sent.
//
// A crash breaks all requests on the backend server, and the crashing one is
// among those that had no event yet. Each process reports the parts of these to
// the others. A part is quarantined once several crashes named it and no
// process has got an answer on it since. A sound part shares a crash or two
// with the crashing one, but is answered in between.
//
// Parts that every crash names together cannot be told apart. Only requests
// with all of them are refused, so that the sound ones are still answered.
//
// Not thread-safe: used on the event loop thread, with the time passed in.
class PromptQuarantine {
 public:
  // A quarantined part, and when it may be tried again.
  struct Match {
    std::string part;
    TimePoint until{};
  };

  // Records that a backend server sent the first event of an answer.
  void NoteAnswer(const PromptParts& parts, TimePoint now);
  // Records that the connection of a request broke after it was sent and before
  // the first event.
  void NoteCrash(const std::string& backend_id,
                 const PromptParts& parts,
                 TimePoint now);
  // Takes over the report of the previous run of this process.
  void TakeOver(const CrashReport& report, TimePoint now);
  // Replaces what is known of another process, `node`.
  void Apply(const std::string& node, CrashReport report, TimePoint now);
  // Forgets the report of a process whose row was removed.
  void Remove(const std::string& node, TimePoint now);
  // Drops what has expired.
  void Tick(TimePoint now);

  // Returns a quarantined part for which a request with these parts is refused.
  std::optional<Match> Find(const PromptParts& parts) const;
  // Number of quarantined parts.
  size_t size() const { return quarantined_.size(); }

  // What this process tells the others. The version increases with each change.
  const CrashReport& own_report() const { return own_report_; }
  std::uint64_t own_version() const { return own_version_; }
  // Returns the processes whose reports hold nothing that has not expired.
  std::vector<std::string> ExpiredReports(TimePoint now) const;

 private:
  struct Suspect {
    std::vector<BackendCrash> crashes;  // that name the part, in order
    TimePoint answered_at{};            // newest answer that a report tells of
  };
  struct Quarantine {
    TimePoint until{};
    // The quarantined parts that all crashes name together with this one,
    // itself included. Requests without one of them are served.
    std::set<std::string> together;
  };

  // Collects the suspects from all reports and updates the quarantine.
  void Rebuild(TimePoint now);
  void UpdateQuarantine(TimePoint now);
  // Returns the quarantine of a part with these crashes.
  static Quarantine MakeQuarantine(const std::vector<BackendCrash>& crashes,
                                   TimePoint answered_at);
  // Tells the others of answers that clear a suspect.
  void ReportAnswers();
  bool PruneOwnReport(TimePoint now);
  // Returns the time of the newest own answer on the part.
  TimePoint OwnAnswerAt(const std::string& part) const;

  CrashReport own_report_;
  std::uint64_t own_version_ = 0;
  std::map<std::string, CrashReport> reports_;     // of the other processes
  std::map<std::string, Suspect> suspects_;        // by part
  std::map<std::string, Quarantine> quarantined_;  // by part
  std::map<std::string, TimePoint> own_answers_;   // newest, by part
  TimePoint next_prune_{};
};

}  // namespace carawayrelay
