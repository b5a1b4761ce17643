#include "process/transport/curl_answer.h"

#include <utility>

namespace carawayrelay {
namespace {

constexpr long kFirstStatus = 100;
constexpr long kFirstFinalStatus = 200;
constexpr long kLastStatus = 599;
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

Result<HeadLine> CurlAnswer::AddHeaderLine(CURL* easy, std::string_view line) {
  line = WithoutLineEnd(line);
  switch (next_) {
    case Next::kStatusLine:
      next_ = Next::kField;
      has_length_ = false;
      return StatusLine{};
    case Next::kField:
      return line.empty() ? EndHead(easy) : AddField(line);
    case Next::kTrailer:
      break;
  }
  if (!line.empty()) {
    BOOST_OUTCOME_TRY(ParseField(line));
  }
  return TrailerLine{};
}

Result<HeadLine> CurlAnswer::AddField(std::string_view line) {
  BOOST_OUTCOME_TRY(HttpField field, ParseField(line));
  has_length_ |=
      field.name == "content-length" || field.name == "transfer-encoding";
  return field;
}

Result<HeadLine> CurlAnswer::EndHead(CURL* easy) {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < kFirstStatus || status > kLastStatus) {
    return Error{ErrorCode::kInvalid, "the response has the status " +
                                          std::to_string(status) +
                                          ", which is none"};
  }
  if (status < kFirstFinalStatus) {
    next_ = Next::kStatusLine;
    return HeadEnd{};
  }
  next_ = Next::kTrailer;
  status_ = static_cast<int>(status);
  return HeadEnd{};
}

bool CurlAnswer::IsDelimited() const {
  return has_length_ || status_ == kNoContent || status_ == kNotModified;
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
