#include "connection/health_report.h"

#include <xxhash.h>

#include <utility>

#include "connection/compact_struct.h"
#include "wire_types.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// First byte of each datagram with a HealthMessage. In a RateMessage it would
// end the envelope before its protocol version, so that processes without
// health messages reject the datagram.
constexpr char kHealthMessageMark = '\0';
constexpr std::int32_t kHealthProtocolVersion = 1;
constexpr size_t kMaxReporterBytes = 128;
// Fields of a report besides the name and the list.
constexpr size_t kReportHeadBytes = 40;
// Far more than one frontend can send in the window.
constexpr int kMaxCount = 1'000'000;

std::int32_t ToWire(milliseconds age) {
  return static_cast<std::int32_t>(age.count());
}

bool IsAge(milliseconds age) {
  return age >= milliseconds(0) && age <= kHealthEvidenceWindow;
}

bool IsCount(std::int32_t count) {
  return count >= 0 && count <= kMaxCount;
}

Result<HealthReport> Decode(const wire::HealthReport& w) {
  if (w.reporter.empty() || w.reporter.size() > kMaxReporterBytes ||
      !IsAge(milliseconds(w.age_ms))) {
    return Error{ErrorCode::kInvalid, "health report with values out of range"};
  }
  HealthReport report{.reporter = w.reporter,
                      .process = static_cast<std::uint64_t>(w.process),
                      .sequence = static_cast<std::uint64_t>(w.sequence),
                      .age = milliseconds(w.age_ms)};
  report.servers.reserve(w.servers.size());
  for (const wire::HealthEvidence& e : w.servers) {
    if (!IsCount(e.answers) || !IsCount(e.failures) ||
        !IsAge(milliseconds(e.answer_age_ms)) ||
        !IsAge(milliseconds(e.failure_age_ms))) {
      return Error{ErrorCode::kInvalid, "evidence with values out of range"};
    }
    report.servers.push_back(
        {.server = ServerKey{static_cast<std::uint64_t>(e.server)},
         .answers = e.answers,
         .failures = e.failures,
         .answer_age = milliseconds(e.answer_age_ms),
         .failure_age = milliseconds(e.failure_age_ms)});
  }
  return report;
}

}  // namespace

ServerKey ServerKeyOf(const BackendRegistration& registration) {
  return ServerKey{XXH3_64bits_withSeed(
      registration.id.data(), registration.id.size(),
      static_cast<std::uint64_t>(registration.started_at.count()))};
}

size_t MaxEncodedBytes(const HealthReport& report) {
  return kReportHeadBytes + report.reporter.size() +
         kMaxEvidenceBytes * report.servers.size();
}

std::string EncodeHealthMessage(const HealthMessage& message) {
  wire::HealthEnvelope envelope;
  envelope.protocol_version = kHealthProtocolVersion;
  for (const HealthReport& report : message.reports) {
    wire::HealthReport w;
    w.reporter = report.reporter;
    w.process = static_cast<std::int64_t>(report.process);
    w.sequence = static_cast<std::int64_t>(report.sequence);
    w.age_ms = ToWire(report.age);
    for (const ServerEvidence& evidence : report.servers) {
      wire::HealthEvidence e;
      e.server = static_cast<std::int64_t>(evidence.server);
      e.answers = evidence.answers;
      e.failures = evidence.failures;
      e.answer_age_ms = ToWire(evidence.answer_age);
      e.failure_age_ms = ToWire(evidence.failure_age);
      w.servers.push_back(e);
    }
    envelope.reports.push_back(std::move(w));
  }
  return kHealthMessageMark + WriteCompactStruct(envelope);
}

bool IsHealthMessage(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kHealthMessageMark;
}

Result<HealthMessage> DecodeHealthMessage(std::string_view bytes) {
  if (!IsHealthMessage(bytes) || bytes.size() > kMaxHealthMessageBytes) {
    return Error{ErrorCode::kInvalid, "not a health message"};
  }
  wire::HealthEnvelope envelope;
  BOOST_OUTCOME_TRY(ReadCompactStruct(bytes.substr(1), envelope));
  if (envelope.protocol_version != kHealthProtocolVersion) {
    return Error{ErrorCode::kInvalid,
                 "health message of protocol version " +
                     std::to_string(envelope.protocol_version)};
  }
  HealthMessage message;
  for (const wire::HealthReport& w : envelope.reports) {
    Result<HealthReport> report = Decode(w);
    if (!report) {
      return report.error();
    }
    message.reports.push_back(std::move(report).value());
  }
  return message;
}

}  // namespace carawayrelay
