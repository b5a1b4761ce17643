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
  // no number or differs from an earlier one.
  Result<void> AddField(const HttpField& field);

  // False when the body ends with its connection.
  bool IsDelimited() const { return length_ || has_coding_; }

 private:
  Result<void> AddLengths(std::string_view list);

  std::optional<std::int64_t> length_;  // in bytes
  bool has_coding_ = false;
};

}  // namespace carawayrelay
