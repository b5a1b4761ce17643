#include "process/transport/body_framing.h"

#include <charconv>
#include <system_error>

namespace carawayrelay {
namespace {

// Removes and returns the first member of a list.
std::string_view TakeMember(std::string_view& list) {
  const size_t comma = list.find(',');
  const std::string_view member = TrimBlanks(list.substr(0, comma));
  list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  return member;
}

// Parses digits alone; std::nullopt for anything else and for a length that
// libcurl cannot hold.
std::optional<std::int64_t> ParseLength(std::string_view text) {
  std::int64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, length);
  // std::from_chars accepts a minus sign.
  if (error != std::errc() || parsed_to != end || text.starts_with('-')) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

Result<void> BodyFraming::AddField(const HttpField& field) {
  if (field.name == "content-length") {
    return AddLengths(field.value);
  }
  if (field.name == "transfer-encoding") {
    return AddCodings(field.value);
  }
  return Success();
}

Result<void> BodyFraming::CheckEnd(const StatusLine& status_line) const {
  if (is_chunked_ && length_) {
    return Error{ErrorCode::kInvalid,
                 "the response has both chunks and a length"};
  }
  if (is_chunked_ && status_line.minor_version == 0) {
    return Error{ErrorCode::kInvalid, "a response of HTTP/1.0 has chunks"};
  }
  return Success();
}

// The same length may stand several times (RFC 9110, 8.6).
Result<void> BodyFraming::AddLengths(std::string_view list) {
  bool is_last = false;
  while (!is_last) {
    is_last = list.find(',') == std::string_view::npos;
    const std::optional<std::int64_t> length = ParseLength(TakeMember(list));
    if (!length) {
      return Error{ErrorCode::kInvalid,
                   "the length of the response is not a number"};
    }
    if (length_ && *length_ != *length) {
      return Error{ErrorCode::kInvalid, "the response has two lengths"};
    }
    length_ = length;
  }
  return Success();
}

// A list may have empty members (RFC 9110, 5.6.1).
Result<void> BodyFraming::AddCodings(std::string_view list) {
  const bool was_chunked = is_chunked_;
  size_t codings = 0;
  while (!list.empty()) {
    const std::string_view coding = TakeMember(list);
    if (coding.empty()) {
      continue;
    }
    ++codings;
    is_chunked_ = LowerCase(coding) == "chunked";
  }
  if (was_chunked || codings != 1 || !is_chunked_) {
    return Error{ErrorCode::kInvalid,
                 "the response has a transfer coding other than chunked"};
  }
  return Success();
}

}  // namespace carawayrelay
