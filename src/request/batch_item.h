#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayrelay {

// The only URL that items of a batch job may name.
inline constexpr std::string_view kBatchUrl = "/v1/chat/completions";

// One line of an uploaded file, checked.
struct BatchItem {
  std::string custom_id;
  std::string model;
  std::string body;  // JSON text of the request
};

// A problem in a line of an uploaded file. Lines are numbered from 1.
struct LineFinding {
  size_t line = 0;
  std::string message;
};

// The items of a text and everything that is wrong with it.
struct BatchLines {
  std::vector<BatchItem> items;
  std::vector<LineFinding> findings;
};

// Parses JSON lines. Blank lines are skipped but counted. Lines with findings
// give no item.
BatchLines ParseBatchLines(std::string_view text);

// One line for each finding: "line <number>: <message>".
std::string ToText(const std::vector<LineFinding>& findings);

// A range of whole lines and the number of items in it.
struct LineSegment {
  std::string_view text;
  std::uint64_t items = 0;
};

// Splits `text` at line ends into segments of at most `max_bytes`, or of one
// line when that line is longer. The segments joined are `text`.
std::vector<LineSegment> SplitLines(std::string_view text, size_t max_bytes);

// The backend server answered, with success or with an error status.
struct ItemResponse {
  int http_status = 0;
  std::string body;
};

// No backend server gave an answer to the item.
struct ItemError {
  std::string code;
  std::string message;
};

using ItemOutcome = std::variant<ItemResponse, ItemError>;

// True for a response with status 2xx. Other outcomes go to the error file.
bool IsSuccess(const ItemOutcome& outcome);

// One line of an output or error file, with its line end.
std::string FormatResultLine(const std::string& id,
                             const std::string& custom_id,
                             const ItemOutcome& outcome);

// Puts the output lines and error lines of a chunk into one object.
std::string JoinResultLines(const std::string& output_lines,
                            const std::string& error_lines);

enum class ResultKind { kOutput, kError };

// The lines of one kind in an object made by JoinResultLines(), or nothing when
// the object is damaged.
std::optional<std::string> ResultLines(std::string_view object,
                                       ResultKind kind);

}  // namespace carawayrelay
