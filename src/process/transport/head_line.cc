#include "process/transport/head_line.h"

#include <algorithm>

namespace carawayrelay {
namespace {

// The characters of a token beside letters and digits (RFC 9110, 5.6.2).
constexpr std::string_view kTokenSigns = "!#$%&'*+-.^_`|~";
constexpr std::string_view kBlanks = " \t";

constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr size_t kVersionBytes = kVersionStart.size() + 1;
constexpr size_t kStatusBytes = 3;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || IsDigit(c) ||
         kTokenSigns.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

// Tabs, blanks, visible characters and bytes over 0x7f (RFC 9110, 5.5).
bool IsTextCharacter(char c) {
  constexpr char kDelete = 0x7f;
  const bool is_control = static_cast<unsigned char>(c) < ' ' || c == kDelete;
  return !is_control || c == '\t';
}

bool IsText(std::string_view text) {
  return std::ranges::all_of(text, IsTextCharacter);
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

Result<StatusLine> ParseStatusLine(std::string_view line) {
  const std::string_view version = line.substr(0, kVersionBytes);
  if (version.size() < kVersionBytes || !version.starts_with(kVersionStart) ||
      !IsDigit(version.back())) {
    return Error{ErrorCode::kInvalid,
                 "the response does not begin with a version of HTTP/1"};
  }
  std::string_view rest = line.substr(kVersionBytes);
  const std::string_view status = rest.substr(0, 1 + kStatusBytes);
  rest.remove_prefix(status.size());
  const bool has_status = status.size() == 1 + kStatusBytes &&
                          status.front() == ' ' &&
                          std::ranges::all_of(status.substr(1), IsDigit);
  if (!has_status || !(rest.empty() || rest.front() == ' ') || !IsText(rest)) {
    return Error{ErrorCode::kInvalid,
                 "the status line of the response is malformed"};
  }
  const StatusLine parsed{.minor_version = version.back() - '0',
                          .status = std::stoi(std::string(status.substr(1)))};
  if (parsed.status < kFirstStatus || parsed.status > kLastStatus) {
    return Error{ErrorCode::kInvalid, "the response has the status " +
                                          std::to_string(parsed.status) +
                                          ", which is none"};
  }
  return parsed;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), ToLower);
  return lower;
}

std::string_view TrimBlanks(std::string_view text) {
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

Result<HttpField> ParseField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return Error{ErrorCode::kInvalid, "a line of the head has no colon"};
  }
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name)) {
    return Error{ErrorCode::kInvalid, "the name of a field is not a token"};
  }
  const std::string_view value = line.substr(colon + 1);
  if (!IsText(value)) {
    return Error{ErrorCode::kInvalid, "the value of the field " +
                                          std::string(name) +
                                          " has a control character"};
  }
  return HttpField{.name = LowerCase(name),
                   .value = std::string(TrimBlanks(value))};
}

}  // namespace carawayrelay
