#include "standins/trace_store.h"

#include <algorithm>
#include <cstdlib>

namespace carawayrelay::tools {
namespace {

// Returns the start time of a span in nanoseconds since the Unix epoch, or 0.
// OTLP JSON encodes 64-bit numbers as strings.
std::int64_t StartOf(const nlohmann::json& span) {
  const auto found = span.find("startTimeUnixNano");
  if (found == span.end()) {
    return 0;
  }
  return found->is_string()
             ? std::strtoll(found->get<std::string>().c_str(), nullptr, 10)
             : found->get<std::int64_t>();
}

// Returns a field of an object, or an empty array if it is missing.
const nlohmann::json& ArrayOf(const nlohmann::json& json, const char* name) {
  static const nlohmann::json empty = nlohmann::json::array();
  const auto found = json.find(name);
  return found == json.end() ? empty : *found;
}

}  // namespace

size_t TraceStore::Add(const nlohmann::json& otlp) {
  const size_t before = received_;
  for (const nlohmann::json& resource : ArrayOf(otlp, "resourceSpans")) {
    for (const nlohmann::json& scope : ArrayOf(resource, "scopeSpans")) {
      for (nlohmann::json span : ArrayOf(scope, "spans")) {
        if (resource.contains("resource")) {
          span["resource"] = resource["resource"];
        }
        spans_.push_back(std::move(span));
        ++received_;
      }
    }
  }
  while (spans_.size() > kMaxSpans) {
    spans_.pop_front();
  }
  return received_ - before;
}

nlohmann::json TraceStore::List(const std::string& trace_id) const {
  nlohmann::json traces = nlohmann::json::object();
  for (const nlohmann::json& span : spans_) {
    const std::string id = span.value("traceId", "");
    if (trace_id.empty() || id == trace_id) {
      traces[id].push_back(span);
    }
  }
  for (nlohmann::json& spans : traces) {
    std::stable_sort(spans.begin(), spans.end(),
                     [](const nlohmann::json& a, const nlohmann::json& b) {
                       return StartOf(a) < StartOf(b);
                     });
  }
  return {{"spans", received_}, {"traces", traces}};
}

}  // namespace carawayrelay::tools
