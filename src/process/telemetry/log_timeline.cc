#include "process/telemetry/log_timeline.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

// A state change of a process or backend server may explain the outcome of a
// request when it was logged at most this long before the first or after the
// last line of the request.
constexpr std::int64_t kContextBeforeMs = 5000;
constexpr std::int64_t kContextAfterMs = 500;

// Sentence templates by event name; {name} is replaced by the value of a field.
const std::map<std::string_view, std::string_view>& SentenceTemplates() {
  static const std::map<std::string_view, std::string_view> templates = {
      {"request_refused",
       "refused with {code}: {reason} (configuration version "
       "{config_version})"},
      {"attempt_declined",
       "backend server {runner} declined and did not run it: {reason}"},
      {"attempt_failed",
       "attempt {attempt} at backend server {runner} failed: {reason}; request "
       "sent: {was_sent}, events of this attempt: {got_event}, last event "
       "received: {after_event}, retries: {resends}, prompt parts: "
       "{prompt_parts}"},
      {"request_ended",
       "ended after {ms} ms: {outcome}, status {status}, backend server "
       "{runner}, route {route}, workspace {workspace}, attempts {attempts}, "
       "last event received: {last_event}, reason: {reason}"},
      {"job_submitted",
       "job {job} with {items} items: {outcome} after {ms} ms, route {route}, "
       "workspace {workspace}"},
      {"job_refused",
       "refused job {job} with {job_tokens} tokens: workspace {workspace} has "
       "{pending_tokens} pending tokens, limit {limit}"},
      {"job_store_retry",
       "could not store job {job} and will retry: {status} {reason}"},
      {"job_ended", "job {job} was ended by its client"},
      {"job_read_failed", "could not read job {job}: {reason}"},
      {"item_claimed", "claimed item {item} of job {job}"},
      {"item_run_failed",
       "run of item {item} failed: status {status}, declined: {declined}, "
       "last event received: {after_event}, failures so far: {failures}, "
       "prompt parts: {prompt_parts}, reason: {reason}"},
      {"item_finished",
       "item {item} finished: {outcome}, events: {events}, failures: "
       "{failures}"},
      {"item_returned", "released the claim on item {item}: {reason}"},
      {"item_held",
       "holds item {item} for {for_ms} ms: backend servers crash on prompt "
       "part {part}"},
      {"item_dropped", "stopped running item {item}: {reason}"},
      {"slow_start_began",
       "slow start of backend server {runner}, limit {limit}: {reason}"},
      {"slow_start_ended", "slow start of backend server {runner} ended"},
      {"items_left_to_others",
       "left the items to other workers for {for_ms} ms: the local backend "
       "server has pace {pace}, time left {left_ms} ms"},
      {"serving_started", "process started as {role}"},
      {"serving_stopping",
       "process is stopping, requests or calls in progress: {active}"},
      {"serving_stopped", "process stopped"},
      {"serving_readiness",
       "ready: {ready} (configuration confirmed {config_age_ms} ms ago, knows "
       "the other entries: {knows_members}, backend servers: {runners})"},
      {"event_failed", "one step of the event loop failed: {reason}"},
      {"rate_holder_silent",
       "{holder} did not answer about the rate of workspace {workspace}"},
      {"serving_config_adopted",
       "adopted configuration version {version}, previous version {before}"},
      {"zones_out_changed", "availability zones out of service: {zones}"},
      {"store_lost", "store became unavailable: {status} {reason}"},
      {"store_regained", "store is available again after {away_ms} ms"},
      {"runner_changed",
       "backend server {runner} is registered at {address}, draining: "
       "{draining}, cold for another {cold_ms} ms"},
      {"runner_gone", "backend server {runner} was removed: {reason}"},
      {"runner_avoided",
       "avoids backend server {runner} for {avoid_ms} ms: {reason}"},
      {"runner_leaving",
       "backend server {runner} announced its shutdown (draining by its "
       "registration: {is_draining})"},
      {"crash_suspected",
       "backend server {runner} may have crashed on one of the prompt parts "
       "{suspects}"},
      {"prompt_quarantined",
       "refuses requests with prompt part {part} for {for_ms} ms after "
       "{crashes} crashes"},
      {"prompt_tried",
       "may send one request with the quarantined prompt parts {parts}, "
       "trials in five minutes: {grants}"},
      {"prompt_trial_delayed",
       "could not get the right to try the prompt parts {parts}: {reason}"},
      {"prompt_released",
       "serves requests with prompt part {part} again: {reason}"},
      {"runner_replaced",
       "ignores the registration of backend server {runner} at {address}: "
       "{reason}"}};
  return templates;
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string ToSentence(const json& line) {
  const auto it = SentenceTemplates().find(line.value("name", ""));
  if (it == SentenceTemplates().end()) {
    return line.dump();
  }
  std::string text;
  std::string_view rest = it->second;
  while (!rest.empty()) {
    const size_t open = rest.find('{');
    text += rest.substr(0, open);
    if (open == std::string_view::npos) {
      break;
    }
    const size_t close = rest.find('}', open);
    const std::string field(rest.substr(open + 1, close - open - 1));
    text += line.contains(field) ? TextOf(line.at(field)) : "?";
    rest.remove_prefix(close + 1);
  }
  return text;
}

std::vector<json> ReadLines(const std::vector<std::string>& log_lines) {
  std::vector<json> lines;
  for (const std::string& text : log_lines) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    json line = json::parse(text.substr(begin), nullptr, false);
    if (line.is_object() && line.contains("t_ms") && line.contains("node") &&
        line["t_ms"].is_number_integer() && line["node"].is_string()) {
      lines.push_back(std::move(line));
    }
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const json& a, const json& b) { return a["t_ms"] < b["t_ms"]; });
  return lines;
}

// Whether the event concerns the whole process, not one backend server.
bool IsProcessEvent(const std::string& name) {
  constexpr std::array<std::string_view, 8> kNames = {
      "serving_started",        "serving_stopping",  "serving_stopped",
      "serving_config_adopted", "zones_out_changed", "store_lost",
      "store_regained",         "serving_readiness"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

}  // namespace

std::vector<std::string> BuildTimeline(
    const std::string& id,
    const std::vector<std::string>& log_lines) {
  const std::vector<json> lines = ReadLines(log_lines);
  std::set<std::string> nodes;
  std::set<std::string> backends;
  std::int64_t first = 0;
  std::int64_t last = 0;
  const auto mentions_id = [&](const json& line) {
    return line.value("id", "") == id || line.value("job", "") == id;
  };
  for (const json& line : lines) {
    if (!mentions_id(line)) {
      continue;
    }
    const auto time = line["t_ms"].get<std::int64_t>();
    first = nodes.empty() ? time : first;
    last = time;
    nodes.insert(line["node"].get<std::string>());
    if (line.contains("runner")) {
      backends.insert(TextOf(line["runner"]));
    }
  }
  std::vector<std::string> timeline;
  if (nodes.empty()) {
    return timeline;
  }
  for (const json& line : lines) {
    const auto time = line["t_ms"].get<std::int64_t>();
    const bool is_near = time >= first - kContextBeforeMs &&
                         time <= last + kContextAfterMs &&
                         nodes.contains(line["node"].get<std::string>());
    const bool is_about_backend = line.contains("runner") &&
                                  !line.contains("id") &&
                                  backends.contains(TextOf(line["runner"]));
    if (!mentions_id(line) &&
        !(is_near &&
          (is_about_backend || IsProcessEvent(line.value("name", ""))))) {
      continue;
    }
    std::array<char, 32> offset{};
    std::snprintf(offset.data(), offset.size(), "%+9.3f s  ",
                  static_cast<double>(time - first) / 1000);
    timeline.push_back(offset.data() + line["node"].get<std::string>() + ": " +
                       ToSentence(line));
  }
  return timeline;
}

}  // namespace carawayrelay
