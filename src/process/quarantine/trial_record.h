#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "request/error.h"
#include "request/prompt_parts.h"

namespace carawayrelay {

// The right of one process to send one request with quarantined parts of a
// prompt. Nobody waits for the process to use it.
struct TrialGrant {
  PromptParts parts;
  std::string node;                 // the process that got the right
  std::chrono::milliseconds at{0};  // on the clock of the store

  friend bool operator==(const TrialGrant&, const TrialGrant&) = default;
};

// All grants of the last minutes, the content of one row of the store.
struct TrialRecord {
  std::vector<TrialGrant> grants;  // in order of time

  // Drops the grants that are too old to count.
  void Prune(std::chrono::milliseconds store_now);
  // Returns when the grants that share a part with `parts` were made.
  std::vector<std::chrono::milliseconds> TimesOf(
      const PromptParts& parts) const;
};

std::string EncodeTrialRecord(const TrialRecord& record);
// Fails with kInvalid when `text` is not a record. Entries that cannot be read
// are left out.
Result<TrialRecord> DecodeTrialRecord(const std::string& text);

// Returns when a quarantined part may be tried again, given the times of the
// crashes that accuse it and of the grants for it, both in order and on the
// clock of the store. Returns nullopt when it has crashed so many backend
// servers that it is not tried before its quarantine ends.
std::optional<std::chrono::milliseconds> NextTrialAt(
    const std::vector<std::chrono::milliseconds>& crashes,
    const std::vector<std::chrono::milliseconds>& grants);

}  // namespace carawayrelay
