#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace carawayrelay {

// Identity of a span in a trace, as carried by the W3C header traceparent.
struct TraceContext {
  std::array<std::uint64_t, 2> trace_id{};
  std::uint64_t span_id = 0;
  bool sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

// Parses a traceparent header. Returns nothing when it is malformed, has
// version ff, or has a zero trace or span id.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// Version 00 of the header: "00-<trace id>-<span id>-<flags>".
std::string ToTraceparent(const TraceContext& context);

// A span below `parent`, or the root span of a new sampled trace.
TraceContext MakeChild(const std::optional<TraceContext>& parent,
                       std::mt19937_64& rng);

}  // namespace carawayrelay
