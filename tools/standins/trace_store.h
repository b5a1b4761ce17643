#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace carawayrelay::tools {

// Stores the latest spans that the processes exported as OTLP JSON.
class TraceStore {
 public:
  // Adds the spans in resourceSpans/scopeSpans/spans and returns their number.
  size_t Add(const nlohmann::json& otlp);
  // Returns {"spans": <number of spans ever received>, "traces": {<trace id>:
  // [<span>, ...]}}, with the spans of a trace in the order of their start
  // times. An empty id selects all traces.
  nlohmann::json List(const std::string& trace_id) const;

 private:
  // The oldest spans are dropped above this limit.
  static constexpr size_t kMaxSpans = 20000;

  std::deque<nlohmann::json> spans_;
  size_t received_ = 0;
};

}  // namespace carawayrelay::tools
