#include "process/transport/http_request_parser.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "process/transport/head_line.h"
#include "process/transport/heap_settings.h"

namespace carawayrelay {
namespace {

// Memory of a header field besides its characters: a node of the map, two
// strings and the overhead of the allocator.
constexpr size_t kFieldOverheadBytes = 192;

HttpRequestParser& ParserOf(http_parser* parser) {
  return *static_cast<HttpRequestParser*>(parser->data);
}

}  // namespace

const http_parser_settings& HttpRequestParser::Callbacks() {
  static const http_parser_settings parser_callbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    // The limits of this class apply in place of the one of http_parser.
    http_parser_set_max_header_size(std::numeric_limits<uint32_t>::max());
    callbacks.on_url = [](http_parser* parser, const char* at, size_t length) {
      ParserOf(parser).target_.append(at, length);
      ParserOf(parser).field_bytes_ += length;
      return 0;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* at,
                                   size_t length) {
      ParserOf(parser).AppendField({at, length});
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* at,
                                   size_t length) {
      ParserOf(parser).AppendValue({at, length});
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return ParserOf(parser).OnHeadEnd();
    };
    callbacks.on_body = [](http_parser* parser, const char* at, size_t length) {
      return ParserOf(parser).OnBody({at, length});
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      ParserOf(parser).OnEnd();
      return 0;
    };
    return callbacks;
  }();
  return parser_callbacks;
}

HttpRequestParser::HttpRequestParser(Limits limits) : limits_(limits) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

size_t HttpRequestParser::Parse(std::string_view data) {
  const bool had_head = has_head_;
  const size_t body_before = request_.body.size();
  const size_t parsed =
      http_parser_execute(&parser_, &Callbacks(), data.data(), data.size());
  if (!has_head_) {
    head_bytes_ += data.size();
  } else if (request_.body.size() > body_before) {
    framing_bytes_ = 0;
  } else if (had_head) {
    framing_bytes_ += parsed;
  }
  if (head_bytes_ > limits_.head_bytes || field_bytes_ > limits_.field_bytes ||
      framing_bytes_ > limits_.head_bytes) {
    problem_ = Problem::kHeadTooLarge;
  }
  const auto error = static_cast<http_errno>(parser_.http_errno);
  if (error != HPE_OK && error != HPE_PAUSED && problem_ == Problem::kNone) {
    problem_ = error == HPE_HEADER_OVERFLOW ? Problem::kHeadTooLarge
                                            : Problem::kMalformed;
  }
  return parsed;
}

size_t HttpRequestParser::HeldBytes() const {
  return field_bytes_ + fields_ * kFieldOverheadBytes + BodyMemory();
}

// Of a large block only the pages that were written are resident.
size_t HttpRequestParser::BodyMemory() const {
  return request_.body.capacity() < kMappedBlockBytes ? request_.body.capacity()
                                                      : request_.body.size();
}

HttpRequest HttpRequestParser::Take() {
  request_.method = http_method_str(static_cast<http_method>(parser_.method));
  target_.resize(std::min(target_.size(), target_.find('#')));
  const size_t path_end = std::min(target_.size(), target_.find('?'));
  request_.path = target_.substr(0, path_end);
  request_.query = target_.substr(std::min(target_.size(), path_end + 1));
  return std::move(request_);
}

void HttpRequestParser::AppendField(std::string_view text) {
  if (is_in_value_) {
    StoreField();
  }
  // Fields after a chunked body are ignored.
  if (!has_head_) {
    field_ += text;
    field_bytes_ += text.size();
  }
}

void HttpRequestParser::AppendValue(std::string_view text) {
  is_in_value_ = true;
  if (!has_head_) {
    value_ += text;
    field_bytes_ += text.size();
  }
}

void HttpRequestParser::StoreField() {
  if (!has_head_) {
    ++fields_;
    request_.headers[LowerCase(field_)] = value_;
  }
  field_.clear();
  value_.clear();
  is_in_value_ = false;
}

int HttpRequestParser::OnHeadEnd() {
  if (!field_.empty()) {
    StoreField();
  }
  has_head_ = true;
  const auto length = parser_.content_length;
  if (length == 0 || length == std::numeric_limits<decltype(length)>::max()) {
    return 0;
  }
  if (length > limits_.body_bytes) {
    problem_ = Problem::kBodyTooLarge;
    return -1;  // makes http_parser stop with an error
  }
  request_.body.reserve(length);
  return 0;
}

int HttpRequestParser::OnBody(std::string_view text) {
  if (request_.body.size() + text.size() > limits_.body_bytes) {
    problem_ = Problem::kBodyTooLarge;
    return -1;
  }
  request_.body += text;
  return 0;
}

void HttpRequestParser::OnEnd() {
  is_complete_ = true;
  keeps_connection_ =
      parser_.upgrade == 0 && http_should_keep_alive(&parser_) != 0;
  http_parser_pause(&parser_, 1);
}

}  // namespace carawayrelay
