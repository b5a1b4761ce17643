#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "process/transport/body_framing.h"
#include "process/transport/head_line.h"

namespace carawayrelay {

// The empty line that ends the head of an interim or final answer.
struct HeadEnd {};
// A line behind the chunks of a body. Trailers are checked and not passed on.
struct TrailerLine {};
// What a line is that libcurl reports as a header.
using HeadLine = std::variant<StatusLine, HttpField, HeadEnd, TrailerLine>;

// Judges the answers that libcurl reads. All HTTP clients of the project use
// it, because libcurl takes more for a whole answer than HTTP does. One object
// follows one call.
class CurlAnswer {
 public:
  // Takes one header line, with its line end, as libcurl reports it. Fails with
  // kInvalid when it cannot be part of an answer; the call must then be ended.
  Result<HeadLine> AddHeaderLine(std::string_view line);

  // Whether the whole head of an answer arrived. Interim answers do not count.
  bool has_head() const { return next_ == Next::kTrailer; }
  // Of the newest status line, that of an interim answer included.
  int status() const { return status_line_.status; }

  // Returns why the answer of a call that libcurl ended with CURLE_OK is not
  // whole, or nullopt if it is. `request_bytes` is the size of the body of the
  // request.
  std::optional<std::string> IncompleteReason(CURL* easy,
                                              size_t request_bytes) const;

 private:
  // The kind of line that comes next. Instead of a field, the head may end.
  enum class Next { kStatusLine, kField, kTrailer };

  Result<HeadLine> AddStatusLine(std::string_view line);
  Result<HeadLine> AddField(std::string_view line);
  Result<HeadLine> EndHead();
  bool IsDelimited() const;

  Next next_ = Next::kStatusLine;
  StatusLine status_line_;
  BodyFraming framing_;
};

}  // namespace carawayrelay
