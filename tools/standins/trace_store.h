#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace carawayrelay::tools {

// Keeps the last spans that the processes exported as OTLP JSON.
class TraceStore {
 public:
  // Reads resourceSpans/scopeSpans/spans. Returns the number of spans.
  size_t Add(const nlohmann::json& otlp);
  // {"spans": <all ever received>, "traces": {<trace id>: [<span>, ...]}}, with
  // the spans of a trace in the order of their start. An empty id selects all.
  nlohmann::json List(const std::string& trace_id) const;

 private:
  static constexpr size_t kMaxSpans = 20000;

  std::deque<nlohmann::json> spans_;
  size_t received_ = 0;
};

}  // namespace carawayrelay::tools
