#include "request/sse_event_splitter.h"

#include <charconv>
#include <utility>

namespace carawayrelay {
namespace {

void ReadLine(std::string_view line, RawSseEvent& event) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    std::uint64_t id = 0;
    const auto parsed =
        std::from_chars(value.data(), value.data() + value.size(), id);
    if (parsed.ec == std::errc() && parsed.ptr == value.data() + value.size()) {
      event.id = id;
    }
  } else if (name == "data") {
    if (std::exchange(event.has_data, true)) {
      event.data += '\n';
    }
    event.data += value;
  }
}

RawSseEvent ReadEvent(std::string bytes) {
  RawSseEvent event;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    ReadLine(line, event);
  }
  event.bytes = std::move(bytes);
  return event;
}

}  // namespace

std::vector<RawSseEvent> SseEventSplitter::Feed(std::string_view bytes) {
  std::vector<RawSseEvent> events;
  if (is_event_too_long_) {
    return events;
  }
  buffer_ += bytes;
  size_t begin = 0;
  for (; scanned_ < buffer_.size(); ++scanned_) {
    if (buffer_[scanned_] != '\n') {
      continue;
    }
    const std::string_view line(buffer_.data() + line_start_,
                                scanned_ - line_start_);
    line_start_ = scanned_ + 1;
    if (line.empty() || line == "\r") {
      events.push_back(ReadEvent(buffer_.substr(begin, line_start_ - begin)));
      begin = line_start_;
    }
  }
  buffer_.erase(0, begin);
  line_start_ -= begin;
  scanned_ -= begin;
  if (buffer_.size() > kMaxEventBytes) {
    is_event_too_long_ = true;
    buffer_.clear();
    buffer_.shrink_to_fit();
  }
  return events;
}

}  // namespace carawayrelay
