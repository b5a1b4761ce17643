#pragma once

#include <cstdint>
#include <functional>

namespace carawayrelay {

// Identifies a client request within an entry process.
enum class RequestId : std::uint64_t {};
// Identifies one attempt to run a request or batch item on a backend server,
// within an entry process.
enum class AttemptId : std::uint64_t {};
// Identifies an open connection to another process, within a process.
enum class ConnectionId : std::uint64_t {};
// Version of the configuration. Higher versions replace lower ones.
enum class ConfigVersion : std::uint64_t {};
// Fencing token of a lease. Increases with each change of owner.
enum class Fence : std::uint64_t {};

// Reported by a process that has not adopted a configuration yet.
inline constexpr ConfigVersion kNoConfig{0};

template <class Id>
requires std::is_enum_v<Id>
constexpr std::uint64_t ToInt(Id id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace carawayrelay
