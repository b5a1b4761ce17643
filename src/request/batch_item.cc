#include "request/batch_item.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr size_t kMaxCustomIdBytes = 512;

bool IsBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

// Calls `visit(line)` for each line; `line` includes its line terminator.
template <class Visit>
void ForEachLine(std::string_view text, Visit visit) {
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t size = end == std::string_view::npos ? text.size() : end + 1;
    visit(text.substr(0, size));
    text.remove_prefix(size);
  }
}

// Reads a required string field. Adds to `problems` when the field is missing,
// empty or not a string.
std::string ReadString(const json& object,
                       const char* name,
                       std::vector<std::string>& problems) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string() ||
      it->get_ref<const std::string&>().empty()) {
    problems.push_back(std::string(name) + " must be a non-empty string");
    return {};
  }
  return it->get<std::string>();
}

void ReadBody(const json& line,
              BatchItem& item,
              std::vector<std::string>& problems) {
  const auto body = line.find("body");
  if (body == line.end() || !body->is_object()) {
    problems.emplace_back("body must be an object");
    return;
  }
  const size_t before = problems.size();
  item.model = ReadString(*body, "model", problems);
  if (problems.size() > before) {
    problems.back() = "body." + problems.back();
  }
  const auto stream = body->find("stream");
  if (stream != body->end() && *stream != false) {
    problems.emplace_back("body.stream must be absent or false");
  }
  item.body = body->dump(-1, ' ', false, json::error_handler_t::replace);
}

BatchItem ParseLine(std::string_view text, std::vector<std::string>& problems) {
  BatchItem item;
  const json line = json::parse(text, nullptr, false);
  if (!line.is_object()) {
    problems.emplace_back("not a JSON object");
    return item;
  }
  item.custom_id = ReadString(line, "custom_id", problems);
  if (item.custom_id.size() > kMaxCustomIdBytes) {
    problems.emplace_back("custom_id is longer than 512 bytes");
  }
  if (line.value("method", json()) != "POST") {
    problems.emplace_back("method must be \"POST\"");
  }
  if (line.value("url", json()) != kBatchUrl) {
    problems.push_back("url must be \"" + std::string(kBatchUrl) + "\"");
  }
  ReadBody(line, item, problems);
  return item;
}

}  // namespace

BatchLines ParseBatchLines(std::string_view text) {
  BatchLines result;
  std::unordered_map<std::string, size_t> first_use;
  size_t number = 0;
  ForEachLine(text, [&](std::string_view line) {
    ++number;
    if (IsBlank(line)) {
      return;
    }
    std::vector<std::string> problems;
    BatchItem item = ParseLine(line, problems);
    if (!item.custom_id.empty()) {
      const auto [it, is_new] = first_use.try_emplace(item.custom_id, number);
      if (!is_new) {
        problems.push_back("custom_id '" + item.custom_id +
                           "' was used in line " + std::to_string(it->second));
      }
    }
    for (std::string& problem : problems) {
      result.findings.push_back({number, std::move(problem)});
    }
    if (problems.empty()) {
      result.items.push_back(std::move(item));
    }
  });
  return result;
}

std::string ToText(const std::vector<LineFinding>& findings) {
  std::string text;
  for (const LineFinding& finding : findings) {
    text +=
        "line " + std::to_string(finding.line) + ": " + finding.message + "\n";
  }
  return text;
}

std::vector<LineSegment> SplitLines(std::string_view text, size_t max_bytes) {
  std::vector<LineSegment> segments;
  size_t start = 0;
  size_t position = 0;
  std::uint64_t items = 0;
  const auto finish = [&] {
    if (position > start) {
      segments.push_back({text.substr(start, position - start), items});
    }
    start = position;
    items = 0;
  };
  ForEachLine(text, [&](std::string_view line) {
    if (position - start + line.size() > max_bytes) {
      finish();
    }
    position += line.size();
    items += IsBlank(line) ? 0 : 1;
  });
  finish();
  return segments;
}

bool IsSuccess(const ItemOutcome& outcome) {
  const auto* response = std::get_if<ItemResponse>(&outcome);
  return response != nullptr && response->http_status >= 200 &&
         response->http_status < 300;
}

std::string FormatResultLine(const std::string& id,
                             const std::string& custom_id,
                             const ItemOutcome& outcome) {
  json line = {{"id", id},
               {"custom_id", custom_id},
               {"response", nullptr},
               {"error", nullptr}};
  std::visit(
      Overloaded{
          [&](const ItemResponse& response) {
            json body = json::parse(response.body, nullptr, false);
            if (body.is_discarded()) {
              body = response.body;
            }
            line["response"] = {{"status_code", response.http_status},
                                {"request_id", id},
                                {"body", std::move(body)}};
          },
          [&](const ItemError& error) {
            line["error"] = {{"code", error.code}, {"message", error.message}};
          }},
      outcome);
  return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string JoinResultLines(const std::string& output_lines,
                            const std::string& error_lines) {
  return std::to_string(output_lines.size()) + "\n" + output_lines +
         error_lines;
}

std::optional<std::string> ResultLines(std::string_view object,
                                       ResultKind kind) {
  const size_t header = object.find('\n');
  size_t output_bytes = 0;
  if (header == std::string_view::npos ||
      std::from_chars(object.data(), object.data() + header, output_bytes)
              .ptr != object.data() + header) {
    return std::nullopt;
  }
  object.remove_prefix(header + 1);
  if (object.size() < output_bytes) {
    return std::nullopt;
  }
  return std::string(kind == ResultKind::kOutput
                         ? object.substr(0, output_bytes)
                         : object.substr(output_bytes));
}

}  // namespace carawayrelay
