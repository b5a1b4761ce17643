#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace carawayrelay {

// Judges the answers that libcurl reads. All HTTP clients of the project use
// it, because libcurl takes more for a whole answer than HTTP does. One object
// follows one call.
class CurlAnswer {
 public:
  // Takes one header line, as libcurl passes them on. Returns false when the
  // call must be ended because the status is none that an answer may have.
  bool AddHeaderLine(CURL* easy, std::string_view line);

  // Whether the whole head of an answer arrived. Interim answers do not count.
  bool has_head() const { return has_head_; }
  int status() const { return status_; }

  // Returns why the answer of a call that libcurl ended with CURLE_OK is not
  // whole, or nullopt if it is. `request_bytes` is the size of the body of the
  // request.
  std::optional<std::string> IncompleteReason(CURL* easy,
                                              size_t request_bytes) const;
  // Why the call was ended by AddHeaderLine(); empty if it was not.
  const std::string& abort_reason() const { return abort_reason_; }

 private:
  bool IsDelimited() const;

  int status_ = 0;
  bool has_head_ = false;
  // The head has a length or says that the body comes in chunks.
  bool has_length_ = false;
  std::string abort_reason_;
};

}  // namespace carawayrelay
