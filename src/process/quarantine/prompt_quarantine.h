#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/quarantine/crash_evidence.h"
#include "process/quarantine/crash_report.h"
#include "request/boot_clock.h"
#include "request/prompt_parts.h"

namespace carawayrelay {

// Finds parts of prompts that crash the backend servers that answer them (a
// query of death), so that requests with such a part are no longer sent.
//
// A crash cuts all answers of the backend server, whatever they hold. Each
// process reports the parts of the prompts whose answers were cut to the
// others. A part is quarantined once several crashes named it and no process
// has got a whole answer on it since; a crashing part never gets one.
//
// A backend server that answers soon after has only dropped connections, which
// is no evidence. A part that the crashes of another part explain is not
// accused for them. Parts that the same crashes name cannot be told apart; only
// requests with all of them are refused, so that the sound ones are still
// answered.
//
// PromptTrials decides which requests with a quarantined part are sent all the
// same, to learn whether it still crashes backend servers.
//
// Not thread-safe: used on the event loop thread, with the time passed in.
class PromptQuarantine {
 public:
  // An answer that is under way for this long is reported as progress. A part
  // that crashes backend servers does so when its answer begins.
  static constexpr std::chrono::milliseconds kLongAnswer{500};

  // A quarantined part.
  struct Match {
    std::string part;
    // When the quarantine ends without an answer on the part.
    TimePoint until{};
    // The quarantined parts that the same crashes name, itself included.
    std::set<std::string> together;
    std::vector<TimePoint> crashes;  // in order
  };

  // Records that a backend server sent a whole answer.
  void NoteAnswer(const PromptParts& parts, TimePoint now);
  // The same for an answer whose end looks like a dropped connection. It counts
  // as whole once the backend server is seen alive, and as cut if the backend
  // server drops connections or cannot be reached shortly after.
  void NoteUndelimitedAnswer(const std::string& backend_id,
                             const PromptParts& parts,
                             TimePoint now);
  // Records that an answer has gone on for kLongAnswer since its first event.
  // This is a hint that its parts are sound, and no proof. What cuts the answer
  // later accuses other prompts, not its own.
  void NoteProgress(const PromptParts& parts, TimePoint now);
  // Records that the backend server closed or reset the connection of a request
  // before its answer was whole.
  void NoteCrash(const std::string& backend_id,
                 const PromptParts& parts,
                 TimePoint now);
  // Records that the backend server answered a call that began at `since`. A
  // connection that it dropped shortly before was no crash.
  void NoteAlive(const std::string& backend_id, TimePoint since, TimePoint now);
  // Records that no connection to the backend server could be opened.
  void NoteUnreachable(const std::string& backend_id, TimePoint now);
  // Takes over the report of the previous run of this process.
  void TakeOver(const CrashReport& report, TimePoint now);
  // Replaces what is known of other processes, by node.
  void Apply(std::map<std::string, CrashReport> reports, TimePoint now);
  // Forgets the report of a process whose row was removed.
  void Remove(const std::string& node, TimePoint now);
  // Drops what has expired.
  void Tick(TimePoint now);

  // Returns a quarantined part for which a request with these parts is refused.
  std::optional<Match> Find(const PromptParts& parts) const;
  // Whether crashes accuse a part of each of two different requests together.
  // Run at the same time on one backend server, these cannot be told apart.
  bool IsAccusedWith(const PromptParts& parts, const PromptParts& other) const;
  // Number of quarantined parts.
  size_t size() const { return quarantined_.size(); }

  // What this process tells the others. The version increases with each change.
  const CrashReport& own_report() const { return own_report_; }
  std::uint64_t own_version() const { return own_version_; }
  // Returns the processes whose reports hold nothing that has not expired.
  std::vector<std::string> ExpiredReports(TimePoint now) const;

 private:
  struct Quarantine {
    TimePoint until{};
    // The quarantined parts that the same crashes name, itself included.
    // Requests without one of them are served.
    std::set<std::string> together;
    std::vector<TimePoint> crashes;  // in order
  };

  // An answer of which it is not known yet whether it is whole.
  struct UnconfirmedAnswer {
    std::string backend_id;
    PromptParts parts;
    TimePoint at{};
  };

  // Removes and returns the parts of unconfirmed answers of a backend server.
  PromptParts TakeUnconfirmed(const std::string& backend_id, TimePoint before);
  // Adds a crash to the own report, or the suspects to one that just was added.
  void AddOwnCrash(const std::string& backend_id,
                   const PromptParts& suspects,
                   TimePoint now);
  // Collects the evidence of all reports and updates the quarantine.
  void Rebuild(TimePoint now);
  void UpdateQuarantine(TimePoint now);
  void LogChanges(const std::map<std::string, Quarantine>& before,
                  TimePoint now) const;
  // Tells the others of answers that clear a suspect.
  void ReportAnswers();
  bool PruneOwnReport(TimePoint now);
  CrashEvidence::Answers OwnAnswers(const std::string& part) const;
  // Returns the time of the newest whole answer that a report tells of.
  TimePoint ReportedAnswerAt(const std::string& part) const;

  CrashReport own_report_;
  std::uint64_t own_version_ = 0;
  std::map<std::string, CrashReport> reports_;  // of the other processes
  CrashEvidence evidence_;
  // Newest whole answers that reports tell of, the own one included, by part.
  std::map<std::string, TimePoint> reported_answers_;
  std::map<std::string, Quarantine> quarantined_;              // by part
  std::map<std::string, CrashEvidence::Answers> own_answers_;  // by part
  std::vector<UnconfirmedAnswer> unconfirmed_;
  TimePoint next_prune_{};
};

}  // namespace carawayrelay
