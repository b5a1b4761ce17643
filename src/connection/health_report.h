#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carawayrelay/request.h"
#include "connection/backend_registration.h"

namespace carawayrelay {

// Identifies one start of a backend server: a hash of its id and start time.
// All processes that know the registration compute the same key.
enum class ServerKey : std::uint64_t {};

ServerKey ServerKeyOf(const BackendRegistration& registration);

// What one frontend saw of one backend server in the last
// `kHealthEvidenceWindow`. Ages are relative to the report.
struct ServerEvidence {
  ServerKey server{0};
  int answers = 0;
  int failures = 0;
  std::chrono::milliseconds answer_age{0};   // of the latest; if any
  std::chrono::milliseconds failure_age{0};  // of the latest; if any
};

// One frontend's report. Lists backend servers with failures, and those with
// answers that others reported failures of.
struct HealthReport {
  std::string reporter;  // node name
  // Drawn at random at the start of the reporter.
  std::uint64_t process = 0;
  // Grows with each report of the process.
  std::uint64_t sequence = 0;
  // Time since the reporter made it.
  std::chrono::milliseconds age{0};
  std::vector<ServerEvidence> servers;
};

// A datagram between two frontends: the sender's own report and reports of
// others that it forwards.
struct HealthMessage {
  std::vector<HealthReport> reports;
};

inline constexpr std::chrono::milliseconds kHealthEvidenceWindow{10000};
inline constexpr size_t kMaxHealthMessageBytes = 1200;

// Returns an upper bound of what a report adds to the encoded message.
size_t MaxEncodedBytes(const HealthReport& report);
inline constexpr size_t kHealthMessageHeadBytes = 8;
inline constexpr size_t kMaxEvidenceBytes = 32;

std::string EncodeHealthMessage(const HealthMessage& message);
// Whether a datagram is a HealthMessage and not a RateMessage.
bool IsHealthMessage(std::string_view bytes);
// Fails with kInvalid when the bytes are malformed, too long, have another
// protocol version, or hold counts or ages out of range.
Result<HealthMessage> DecodeHealthMessage(std::string_view bytes);

}  // namespace carawayrelay
