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
  // Longest event. A stream without line ends would otherwise fill the memory.
  static constexpr size_t kMaxEventBytes = size_t{1} << 20;

  // Returns the events that `bytes` complete. Returns none once an event is too
  // long.
  std::vector<RawSseEvent> Feed(std::string_view bytes);
  // Returns true when an event was longer than kMaxEventBytes. The rest of the
  // stream cannot be read.
  bool IsEventTooLong() const { return is_event_too_long_; }
  // Returns true when the input so far ends inside an event.
  bool HasPartialEvent() const { return !buffer_.empty(); }
  void Reset() {
    buffer_.clear();
    line_start_ = 0;
    scanned_ = 0;
    is_event_too_long_ = false;
  }

 private:
  std::string buffer_;
  size_t line_start_ = 0;
  size_t scanned_ = 0;
  bool is_event_too_long_ = false;
};

}  // namespace carawayrelay
