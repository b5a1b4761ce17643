#include "process/quarantine/trial_record.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/quarantine/crash_evidence.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Time between a crash or a grant and the next trial.
constexpr std::chrono::seconds kTrialInterval{10};
// The same after kFrequentTrials, so that a part whose trials end without a
// verdict is sent less and less.
constexpr std::chrono::seconds kLongTrialInterval{30};
constexpr size_t kFrequentTrials = 3;
// Trials that may end in a crash. A part that crashed few backend servers
// before gets more, up to kMaxCrashes crashes in all.
constexpr size_t kMinFailedTrials = 2;
constexpr size_t kMaxCrashes = 7;
// Processes estimate the clock of the store, so a crash may seem to be earlier
// than the grant that led to it.
constexpr std::chrono::seconds kClockTolerance{2};
// Limit of the parts that are read of one grant.
constexpr size_t kMaxParts = 64;

// Returns the number of grants that were followed by a crash.
size_t CountFailed(const std::vector<milliseconds>& crashes,
                   const std::vector<milliseconds>& grants) {
  size_t failed = 0;
  for (size_t i = 0; i < grants.size(); ++i) {
    const auto is_of_grant = [&](milliseconds crash) {
      return crash >= grants[i] - kClockTolerance &&
             (i + 1 == grants.size() ||
              crash < grants[i + 1] - kClockTolerance);
    };
    failed += std::ranges::any_of(crashes, is_of_grant) ? 1 : 0;
  }
  return failed;
}

std::optional<TrialGrant> ReadGrant(const json& entry) {
  if (!entry.is_object()) {
    return std::nullopt;
  }
  const auto at = entry.find("at_ms");
  const auto parts = entry.find("parts");
  if (at == entry.end() || !at->is_number_integer() || parts == entry.end() ||
      !parts->is_array()) {
    return std::nullopt;
  }
  TrialGrant grant{.at = milliseconds(at->get<std::int64_t>())};
  for (const json& part : *parts) {
    if (part.is_string() && grant.parts.size() < kMaxParts) {
      grant.parts.push_back(part.get<std::string>());
    }
  }
  const auto node = entry.find("node");
  if (node != entry.end() && node->is_string()) {
    grant.node = node->get<std::string>();
  }
  return grant;
}

}  // namespace

void TrialRecord::Prune(milliseconds store_now) {
  std::erase_if(grants, [store_now](const TrialGrant& grant) {
    return store_now - grant.at >= kCrashLifetime;
  });
}

std::vector<milliseconds> TrialRecord::TimesOf(const PromptParts& parts) const {
  std::vector<milliseconds> times;
  for (const TrialGrant& grant : grants) {
    if (std::ranges::find_first_of(grant.parts, parts) != grant.parts.end()) {
      times.push_back(grant.at);
    }
  }
  return times;
}

std::string EncodeTrialRecord(const TrialRecord& record) {
  json grants = json::array();
  for (const TrialGrant& grant : record.grants) {
    grants.push_back({{"parts", grant.parts},
                      {"node", grant.node},
                      {"at_ms", grant.at.count()}});
  }
  return json{{"grants", std::move(grants)}}.dump();
}

Result<TrialRecord> DecodeTrialRecord(const std::string& text) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto grants = root.is_object() ? root.find("grants") : root.end();
  if (grants == root.end() || !grants->is_array()) {
    return Error{ErrorCode::kInvalid, "trial record has no grants"};
  }
  TrialRecord record;
  for (const json& entry : *grants) {
    if (std::optional<TrialGrant> grant = ReadGrant(entry)) {
      record.grants.push_back(*std::move(grant));
    }
  }
  std::ranges::stable_sort(record.grants, {}, &TrialGrant::at);
  return record;
}

std::optional<milliseconds> NextTrialAt(
    const std::vector<milliseconds>& crashes,
    const std::vector<milliseconds>& grants) {
  if (crashes.size() >= kMaxCrashes &&
      CountFailed(crashes, grants) >= kMinFailedTrials) {
    return std::nullopt;
  }
  milliseconds newest = crashes.empty() ? milliseconds(0) : crashes.back();
  if (!grants.empty()) {
    newest = std::max(newest, grants.back());
  }
  return newest + (grants.size() < kFrequentTrials ? kTrialInterval
                                                   : kLongTrialInterval);
}

}  // namespace carawayrelay
