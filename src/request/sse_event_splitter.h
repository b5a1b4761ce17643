#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayrelay {

// One whole event of a text/event-stream, with its bytes as they came.
struct RawSseEvent {
  std::string bytes;
  std::optional<std::uint64_t> id;
  std::string data;  // lines joined by line feeds
  bool has_data = false;
};

// Cuts a text/event-stream into whole events, whatever the size of the pieces
// it arrives in. Lines end with a line feed, optionally after a carriage
// return.
class SseEventSplitter {
 public:
  std::vector<RawSseEvent> Feed(std::string_view bytes);
  // Whether the stream stopped inside an event.
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
