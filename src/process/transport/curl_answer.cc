#include "process/transport/curl_answer.h"

#include <utility>

namespace carawayrelay {
namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// A single line feed ends a line, too (RFC 9112, 2.2).
std::string_view WithoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

Result<HeadLine> CurlAnswer::AddHeaderLine(std::string_view line) {
  line = WithoutLineEnd(line);
  switch (next_) {
    case Next::kStatusLine:
      return AddStatusLine(line);
    case Next::kField:
      return line.empty() ? EndHead() : AddField(line);
    case Next::kTrailer:
      break;
  }
  if (!line.empty()) {
    BOOST_OUTCOME_TRY(ParseField(line));
  }
  return TrailerLine{};
}

Result<HeadLine> CurlAnswer::AddStatusLine(std::string_view line) {
  BOOST_OUTCOME_TRY(status_line_, ParseStatusLine(line));
  if (status() == kSwitchingProtocols) {
    return Error{ErrorCode::kInvalid,
                 "the response switches to a protocol that was not asked for"};
  }
  next_ = Next::kField;
  framing_ = {};
  return status_line_;
}

Result<HeadLine> CurlAnswer::AddField(std::string_view line) {
  BOOST_OUTCOME_TRY(HttpField field, ParseField(line));
  BOOST_OUTCOME_TRY(framing_.AddField(field));
  return field;
}

Result<HeadLine> CurlAnswer::EndHead() {
  BOOST_OUTCOME_TRY(framing_.CheckEnd(status_line_));
  const bool is_interim = status() < kFirstFinalStatus;
  next_ = is_interim ? Next::kStatusLine : Next::kTrailer;
  return HeadEnd{};
}

bool CurlAnswer::IsDelimited() const {
  return framing_.IsDelimited() || status() == kNoContent ||
         status() == kNotModified;
}

std::optional<std::string> CurlAnswer::IncompleteReason(
    CURL* easy,
    size_t request_bytes) const {
  if (!has_head()) {
    return "the response ended inside its head";
  }
  curl_off_t sent = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  if (!IsDelimited() && static_cast<size_t>(sent) < request_bytes) {
    // The end of such an answer cannot be told from a broken connection.
    return "the connection ended before the request was sent, in a response "
           "without a length";
  }
  return std::nullopt;
}

}  // namespace carawayrelay
