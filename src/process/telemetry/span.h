#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "request/trace_context.h"

namespace carawayrelay {

// One finished operation of a trace, such as an attempt at a backend server.
struct Span {
  decltype(TraceContext::trace_id) trace_id{};
  decltype(TraceContext::span_id) span_id = 0;
  // 0 for the root span.
  decltype(TraceContext::span_id) parent_id = 0;
  std::string name;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  std::vector<std::pair<std::string, std::string>> attributes;
};

}  // namespace carawayrelay
