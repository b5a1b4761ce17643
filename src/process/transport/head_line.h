#pragma once

#include <string>
#include <string_view>

#include "request/error.h"

namespace carawayrelay {

// One field of the head, or of the trailers, of an HTTP message.
struct HttpField {
  std::string name;   // in lower case
  std::string value;  // without the blanks around it
};

// Parses the line of a field, without its line end (RFC 9112, 5). Fails with
// kInvalid when the name is not a token, as in a line with a blank before its
// colon or one that continues the line before, and when the value has a control
// character other than a tab.
Result<HttpField> ParseField(std::string_view line);

}  // namespace carawayrelay
