#pragma once

#include <string>
#include <string_view>

#include "request/error.h"

namespace carawayrelay {

// The status line of an answer.
struct StatusLine {
  int minor_version = 1;  // of HTTP/1
  int status = 0;
};

// Parses a status line, without its line end (RFC 9112, 4). A missing reason is
// accepted, with or without the blank before it. Fails with kInvalid when the
// version is not HTTP/1.x or the status is none of 100 to 599.
Result<StatusLine> ParseStatusLine(std::string_view line);

// Replaces the letters A to Z alone, whatever the locale.
std::string LowerCase(std::string_view text);

// Removes blanks and tabs at both ends.
std::string_view TrimBlanks(std::string_view text);

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
