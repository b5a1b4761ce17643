#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayrelay {

// A complete event of a text/event-stream, with its unmodified bytes.
struct RawSseEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;
  std::string data;  // `data` lines joined with line feeds
  bool has_data = false;
};

// Splits a text/event-stream into complete events and keeps their bytes, so
// that they can be forwarded unchanged. Accepts input in pieces of any size.
// Lines end with LF or CRLF.
class SseEventSplitter {
 public:
  std::vector<RawSseEvent> Feed(std::string_view bytes);
  // Returns true when the input so far ends inside an event.
  bool HasPartialEvent() const { return !buffer_.empty(); }
  void Reset() {
    buffer_.clear();
    line_start_ = 0;
    scanned_ = 0;
  }

 private:
  std::string buffer_;
  size_t line_start_ = 0;
  size_t scanned_ = 0;
};

}  // namespace carawayrelay
