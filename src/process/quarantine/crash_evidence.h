#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/quarantine/crash_report.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// The crashes that all processes reported, and which parts of prompts they
// accuse. Not thread-safe.
class CrashEvidence {
 public:
  // Parts that the same crashes name, so that each of them may be the cause.
  struct Accused {
    std::set<std::string> parts;
    std::vector<TimePoint> crashes;  // in order
  };
  // What is known of the answers on one part. Times are zero without any.
  struct Answers {
    TimePoint whole{};        // newest whole answer
    TimePoint in_progress{};  // newest answer that was under way for long
  };
  using AnswersOf = std::function<Answers(const std::string& part)>;

  // Takes over the crashes of a report that have not expired.
  void Add(const CrashReport& report, TimePoint now);

  // Returns all parts that crashes name.
  std::vector<std::string> Suspects() const;
  bool IsSuspect(const std::string& part) const {
    return reports_on_.contains(part);
  }
  bool empty() const { return reports_on_.empty(); }
  // Returns the number of crashes after `after` that name the part.
  int CountCrashes(const std::string& part, TimePoint after) const;
  // Returns the parts that crashes without a whole answer in between accuse,
  // the best explanation first. A crash that one part explains accuses no
  // other. Parts on which no answer is under way come before those with one.
  std::vector<Accused> FindAccused(const AnswersOf& answers) const;

 private:
  using CrashIndexes = std::set<size_t>;  // into `crashes_`
  // A part that may explain crashes.
  struct Candidate {
    CrashIndexes crashes;
    // An answer on it went on while the backend servers crashed.
    bool is_doubtful = false;
  };

  // Returns the number of crashes that are not close to another one.
  int CountApart(const CrashIndexes& crashes) const;
  CrashIndexes CrashesNaming(const std::string& part, TimePoint after) const;
  // Returns the part that explains most crashes, or nullopt without any.
  std::optional<std::string> FindBest(
      const std::map<std::string, Candidate>& candidates) const;
  // Returns the parts that explain exactly these crashes.
  Accused MakeAccused(const std::map<std::string, Candidate>& candidates,
                      const CrashIndexes& crashes) const;

  // When each crash was reported first. Several processes report one crash.
  std::vector<TimePoint> crashes_;
  // Crashes of each backend server. It may crash more than once under one id.
  std::map<std::string, std::vector<size_t>> crashes_of_;
  // The crashes that name a part, each with its newest report of the part.
  std::map<std::string, std::map<size_t, TimePoint>> reports_on_;
};

// Connections that one backend server drops within this time belong to the same
// crash, because it takes longer to start again. A backend server that answers
// a call begun within this time after it did not crash.
inline constexpr std::chrono::milliseconds kSameCrash{1500};
// How long a crash counts, and how long a part is not sent after its last one.
inline constexpr std::chrono::minutes kCrashLifetime{5};
// Crashes without a whole answer in between after which a part is quarantined.
inline constexpr int kCrashesUntilQuarantine = 3;

}  // namespace carawayrelay
