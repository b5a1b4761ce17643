#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace carawayrelay {

// A span in a trace, as carried in the W3C traceparent header.
struct TraceContext {
  std::array<std::uint64_t, 2> trace_id{};
  std::uint64_t span_id = 0;
  bool sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

// Parses a traceparent header. Returns nothing when it is malformed, has
// version ff, or has a zero trace or span id.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// Formats a version 00 header: "00-<trace id>-<span id>-<flags>".
std::string ToTraceparent(const TraceContext& context);

// Creates a child span of `parent`, or the root span of a new sampled trace
// when `parent` is empty.
TraceContext MakeChild(const std::optional<TraceContext>& parent,
                       std::mt19937_64& rng);

}  // namespace carawayrelay
