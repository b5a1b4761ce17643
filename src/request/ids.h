#pragma once

#include <cstdint>
#include <functional>

namespace carawayrelay {

// One request of a caller, unique within an entry process.
enum class RequestId : std::uint64_t {};
// One try to run a request or batch item on one backend server, unique within
// an entry process.
enum class AttemptId : std::uint64_t {};
// One open connection between two processes, unique within a process.
enum class ConnectionId : std::uint64_t {};
// Version of the configuration; higher versions replace lower ones.
enum class ConfigVersion : std::uint64_t {};
// Fencing number of a lease; grows with each change of owner.
enum class Fence : std::uint64_t {};

// Version of a process that has not yet adopted any configuration.
inline constexpr ConfigVersion kNoConfig{0};

template <class Id>
requires std::is_enum_v<Id>
constexpr std::uint64_t ToInt(Id id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace carawayrelay
