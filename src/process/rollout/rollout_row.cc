#include "process/rollout/rollout_row.h"

#include <nlohmann/json.hpp>

#include "version/findings.h"
#include "version/json_reader.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A double represents all integers up to this one exactly.
constexpr double kMaxExactInteger = 9e15;

milliseconds ReadTime(JsonReader& reader, const char* name) {
  return milliseconds(static_cast<std::int64_t>(
      reader.RequiredNumber(name, 0, kMaxExactInteger)));
}

}  // namespace

const char* ToString(RolloutStep step) {
  switch (step) {
    case RolloutStep::kObserve:
      return "observe";
    case RolloutStep::kSwitch:
      return "switch";
    case RolloutStep::kComplete:
      return "complete";
    case RolloutStep::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::string EncodeRolloutRow(const RolloutRow& row) {
  return json{{"current", row.current},
              {"to", row.to},
              {"spec_version", row.spec_version},
              {"step", ToString(row.step)},
              {"started_ms", row.started.count()},
              {"duration_ms", row.duration.count()},
              {"step_began_ms", row.step_began.count()},
              {"owner", row.owner},
              {"lease_end_ms", row.lease_end.count()},
              {"is_published", row.is_published},
              {"reason", row.reason}}
      .dump();
}

Result<RolloutRow> DecodeRolloutRow(const std::string& text) {
  Findings findings;
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  JsonReader reader(root, "", findings);
  RolloutRow row;
  row.current = reader.OptionalString("current", "");
  row.to = reader.OptionalString("to", "");
  row.spec_version = static_cast<std::uint64_t>(
      reader.RequiredNumber("spec_version", 0, kMaxExactInteger));
  constexpr size_t kNoStep = 4;
  const size_t step = reader.OptionalChoice(
      "step", {"observe", "switch", "complete", "rolled_back"}, kNoStep);
  if (step == kNoStep) {
    findings.Add("/step", "is missing or not a known step");
  } else {
    row.step = static_cast<RolloutStep>(step);
  }
  row.started = ReadTime(reader, "started_ms");
  row.duration = ReadTime(reader, "duration_ms");
  row.step_began = ReadTime(reader, "step_began_ms");
  row.owner = reader.OptionalString("owner", "");
  row.lease_end = ReadTime(reader, "lease_end_ms");
  row.is_published = reader.OptionalBool("is_published", false);
  row.reason = reader.OptionalString("reason", "");
  if (!findings.empty()) {
    return Error{ErrorCode::kInvalid, findings.ToText()};
  }
  return row;
}

}  // namespace carawayrelay
