#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "process/transport/http_server.h"

namespace carawayrelay {

// Parses one HTTP/1.1 request from the bytes of a connection.
class HttpRequestParser {
 public:
  struct Limits {
    // Bytes of a head on the wire, empty lines before it included.
    size_t head_bytes = 0;
    // Bytes of the target and of the names and values of the header fields.
    size_t field_bytes = 0;
    size_t body_bytes = 0;
  };
  enum class Problem { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

  explicit HttpRequestParser(Limits limits);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  // Parses bytes up to the end of the request. Returns the number of bytes that
  // belong to it. Must not be called again after a problem or the end.
  size_t Parse(std::string_view data);

  Problem problem() const { return problem_; }
  bool has_head() const { return has_head_; }
  bool is_complete() const { return is_complete_; }
  bool keeps_connection() const { return keeps_connection_; }
  // Bytes of the body received so far.
  size_t body_bytes() const { return request_.body.size(); }
  // Memory of the request, with the overhead of each header field and what the
  // body has reserved.
  size_t HeldBytes() const;
  // Moves out a complete request.
  HttpRequest Take();

 private:
  size_t BodyMemory() const;
  static const http_parser_settings& Callbacks();
  void AppendField(std::string_view text);
  void AppendValue(std::string_view text);
  // Stores the header field that was parsed last.
  void StoreField();
  int OnHeadEnd();
  int OnBody(std::string_view text);
  void OnEnd();

  const Limits limits_;
  http_parser parser_{};
  Problem problem_ = Problem::kNone;
  bool has_head_ = false;
  bool is_complete_ = false;
  bool keeps_connection_ = false;
  bool is_in_value_ = false;
  size_t head_bytes_ = 0;   // parsed so far
  size_t field_bytes_ = 0;  // of target and header fields
  size_t fields_ = 0;       // number of stored fields
  // Sizes and extensions of chunks and fields after the body, since the last
  // byte of the body.
  size_t framing_bytes_ = 0;
  std::string target_;
  std::string field_;
  std::string value_;
  HttpRequest request_;
};

}  // namespace carawayrelay
