#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "process/transport/head_line.h"

namespace carawayrelay {

// How the head of an answer delimits its body (RFC 9112, 6). libcurl reads the
// body; this class refuses the heads that libcurl reads otherwise than HTTP
// does.
class BodyFraming {
 public:
  // Takes a field of the head. Fails with kInvalid when it is a length that is
  // no number or differs from an earlier one, or a transfer coding other than
  // "chunked", since no request asks for one.
  Result<void> AddField(const HttpField& field);
  // Call at the end of the head. Fails with kInvalid when the body has chunks
  // beside a length or in an answer of HTTP/1.0, which has none.
  Result<void> CheckEnd(const StatusLine& status_line) const;

  // False when the body ends with its connection.
  bool IsDelimited() const { return length_ || is_chunked_; }

 private:
  Result<void> AddLengths(std::string_view list);
  Result<void> AddCodings(std::string_view list);

  std::optional<std::int64_t> length_;  // in bytes
  bool is_chunked_ = false;
};

}  // namespace carawayrelay
