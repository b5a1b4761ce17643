#include "process/transport/curl_answer.h"

#include <strings.h>
#include <array>

#include <algorithm>

namespace carawayrelay {
namespace {

constexpr long kFirstStatus = 100;
constexpr long kFirstFinalStatus = 200;
constexpr long kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Whether the line is a header with this name.
bool HasName(std::string_view line, std::string_view name) {
  return line.size() > name.size() && line[name.size()] == ':' &&
         strncasecmp(line.data(), name.data(), name.size()) == 0;
}

}  // namespace

bool CurlAnswer::AddHeaderLine(CURL* easy, std::string_view line) {
  if (line.starts_with("HTTP/")) {
    has_length_ = false;
    return true;
  }
  if (line != "\r\n" && line != "\n") {
    has_length_ |=
        HasName(line, "content-length") || HasName(line, "transfer-encoding");
    return true;
  }
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < kFirstStatus || status > kLastStatus) {
    abort_reason_ = "the response has the status " + std::to_string(status) +
                    ", which is none";
    return false;
  }
  if (status >= kFirstFinalStatus) {
    has_head_ = true;
    status_ = static_cast<int>(status);
  }
  return true;
}

bool CurlAnswer::IsDelimited() const {
  return has_length_ || status_ == kNoContent || status_ == kNotModified;
}

std::optional<std::string> CurlAnswer::IncompleteReason(
    CURL* easy,
    size_t request_bytes) const {
  if (!has_head_) {
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
