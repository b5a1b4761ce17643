#include "process/quarantine/crash_report.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Limits of what is read of a report of another process.
constexpr size_t kMaxEntries = 128;
constexpr size_t kMaxSuspects = 64;

milliseconds ToStoreTime(TimePoint at, const ClockPair& clocks) {
  return clocks.store -
         std::chrono::duration_cast<milliseconds>(clocks.local - at);
}

std::optional<TimePoint> ReadTime(const json& entry, const ClockPair& clocks) {
  const auto at = entry.find("at_ms");
  if (at == entry.end() || !at->is_number_integer()) {
    return std::nullopt;
  }
  // A time after now, from a clock that runs ahead, would never expire.
  const milliseconds age = clocks.store - milliseconds(at->get<std::int64_t>());
  return clocks.local - std::max(age, milliseconds(0));
}

std::string ReadText(const json& entry, const char* name) {
  const auto it = entry.find(name);
  return it != entry.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

PromptParts ReadSuspects(const json& entry) {
  PromptParts parts;
  const auto it = entry.find("parts");
  if (it == entry.end() || !it->is_array()) {
    return parts;
  }
  for (const json& part : *it) {
    if (part.is_string() && parts.size() < kMaxSuspects) {
      parts.push_back(part.get<std::string>());
    }
  }
  return parts;
}

const json& ArrayOf(const json& root, const char* name) {
  static const json empty = json::array();
  const auto it = root.find(name);
  return it != root.end() && it->is_array() && it->size() <= kMaxEntries
             ? *it
             : empty;
}

}  // namespace

std::string EncodeCrashReport(const CrashReport& report,
                              const ClockPair& clocks) {
  json crashes = json::array();
  for (const BackendCrash& crash : report.crashes) {
    crashes.push_back({{"backend", crash.backend_id},
                       {"at_ms", ToStoreTime(crash.at, clocks).count()},
                       {"parts", crash.suspects}});
  }
  json answered = json::array();
  for (const AnsweredPart& item : report.answered) {
    answered.push_back(
        {{"part", item.part}, {"at_ms", ToStoreTime(item.at, clocks).count()}});
  }
  return json{{"crashes", std::move(crashes)},
              {"answered", std::move(answered)}}
      .dump();
}

Result<CrashReport> DecodeCrashReport(const std::string& text,
                                      const ClockPair& clocks) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) {
    return Error{ErrorCode::kInvalid, "crash report is not a JSON object"};
  }
  CrashReport report;
  for (const json& entry : ArrayOf(root, "crashes")) {
    if (!entry.is_object()) {
      continue;
    }
    if (const auto at = ReadTime(entry, clocks)) {
      report.crashes.push_back({.backend_id = ReadText(entry, "backend"),
                                .at = *at,
                                .suspects = ReadSuspects(entry)});
    }
  }
  for (const json& entry : ArrayOf(root, "answered")) {
    if (!entry.is_object()) {
      continue;
    }
    if (const auto at = ReadTime(entry, clocks)) {
      report.answered.push_back({.part = ReadText(entry, "part"), .at = *at});
    }
  }
  return report;
}

}  // namespace carawayrelay
