#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "request/error.h"

namespace carawayrelay {

// One event of a text/event-stream response.
struct SseEvent {
  std::string type;  // the `event` field; empty when there is none
  std::string id;    // the `id` field of this event
  std::string data;  // `data` lines joined with line feeds
};

// Incremental parser of server-sent events. Accepts input in pieces of any size
// with CR, LF or CRLF line endings. Events without data are dropped, as the
// specification requires.
class SseParser {
 public:
  static constexpr size_t kDefaultMaxEventBytes = size_t{4} << 20;

  explicit SseParser(size_t max_event_bytes = kDefaultMaxEventBytes)
      : max_event_bytes_(max_event_bytes) {}

  // Returns the events that `piece` completes. Fails with kInvalid when an
  // event is larger than the limit. The parser must not be used after a
  // failure.
  Result<std::vector<SseEvent>> Feed(std::string_view piece);

  // Returns true when the input so far ends inside an event.
  bool HasPartialEvent() const {
    return !line_.empty() || has_data_ || !event_.id.empty() ||
           !event_.type.empty();
  }

 private:
  void EndLine(std::vector<SseEvent>& events);
  void ReadField();

  size_t max_event_bytes_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool skip_line_feed_ = false;
  bool at_start_ = true;
};

// Serializes an event that has only `data` lines.
std::string ToSseText(std::string_view data);

}  // namespace carawayrelay
