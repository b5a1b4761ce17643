#include "request/sse_parser.h"

#include <utility>

namespace carawayrelay {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

Result<std::vector<SseEvent>> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  while (!piece.empty()) {
    // A CRLF may be split between two pieces.
    if (std::exchange(skip_line_feed_, false) && piece.front() == '\n') {
      piece.remove_prefix(1);
      continue;
    }
    const size_t end = piece.find_first_of("\r\n");
    line_ += piece.substr(0, end);
    if (line_.size() + event_.data.size() > max_event_bytes_) {
      return Error{ErrorCode::kInvalid, "event of the stream over the limit"};
    }
    if (end == std::string_view::npos) {
      break;
    }
    skip_line_feed_ = piece[end] == '\r';
    piece.remove_prefix(end + 1);
    EndLine(events);
  }
  return events;
}

void SseParser::EndLine(std::vector<SseEvent>& events) {
  if (std::exchange(at_start_, false) && line_.starts_with(kByteOrderMark)) {
    line_.erase(0, kByteOrderMark.size());
  }
  if (!line_.empty()) {
    ReadField();
    line_.clear();
    return;
  }
  if (has_data_) {
    events.push_back(std::move(event_));
  }
  event_ = SseEvent();
  has_data_ = false;
}

void SseParser::ReadField() {
  const std::string_view line = line_;
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
  }
  if (name == "data") {
    if (std::exchange(has_data_, true)) {
      event_.data += '\n';
    }
    event_.data += value;
  } else if (name == "event") {
    event_.type = value;
  } else if (name == "id") {
    event_.id = value;
  }
}

std::string ToSseText(std::string_view data) {
  std::string text;
  text.reserve(data.size() + 8);
  while (true) {
    const size_t end = data.find('\n');
    text += "data: ";
    text += data.substr(0, end);
    text += '\n';
    if (end == std::string_view::npos) {
      break;
    }
    data.remove_prefix(end + 1);
  }
  text += '\n';
  return text;
}

}  // namespace carawayrelay
