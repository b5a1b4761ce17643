#include "request/trace_context.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>

namespace carawayrelay {
namespace {

// Positions in "vv-tttttttttttttttttttttttttttttttt-ssssssssssssssss-ff".
constexpr size_t kLength = 55;
constexpr size_t kTraceStart = 3;
constexpr size_t kSpanStart = 36;
constexpr size_t kFlagsStart = 53;
constexpr size_t kWordDigits = 16;
constexpr unsigned kSampledFlag = 1;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::uint64_t ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

std::uint64_t NonZero(std::mt19937_64& rng) {
  std::uint64_t value = 0;
  while (value == 0) {
    value = rng();
  }
  return value;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() < kLength || header[2] != '-' ||
      header[kSpanStart - 1] != '-' || header[kFlagsStart - 1] != '-') {
    return std::nullopt;
  }
  const std::string_view version = header.substr(0, 2);
  const std::string_view trace =
      header.substr(kTraceStart, kSpanStart - 1 - kTraceStart);
  const std::string_view span = header.substr(kSpanStart, kWordDigits);
  const std::string_view flags = header.substr(kFlagsStart, 2);
  if (!IsLowerHex(version) || !IsLowerHex(trace) || !IsLowerHex(span) ||
      !IsLowerHex(flags) || version == "ff") {
    return std::nullopt;
  }
  // Versions after 00 may append fields after another hyphen.
  if (header.size() > kLength && (version == "00" || header[kLength] != '-')) {
    return std::nullopt;
  }
  const TraceContext context{
      .trace_id = {ParseHex(trace.substr(0, kWordDigits)),
                   ParseHex(trace.substr(kWordDigits))},
      .span_id = ParseHex(span),
      .sampled = (ParseHex(flags) & kSampledFlag) != 0};
  if ((context.trace_id[0] == 0 && context.trace_id[1] == 0) ||
      context.span_id == 0) {
    return std::nullopt;
  }
  return context;
}

std::string ToTraceparent(const TraceContext& context) {
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", context.trace_id[0],
                     context.trace_id[1], context.span_id,
                     context.sampled ? kSampledFlag : 0U);
}

TraceContext MakeChild(const std::optional<TraceContext>& parent,
                       std::mt19937_64& rng) {
  if (parent) {
    return {.trace_id = parent->trace_id,
            .span_id = NonZero(rng),
            .sampled = parent->sampled};
  }
  return {.trace_id = {NonZero(rng), NonZero(rng)},
          .span_id = NonZero(rng),
          .sampled = true};
}

}  // namespace carawayrelay
