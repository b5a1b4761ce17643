#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayrelay {

// The only URL that is accepted in the items of a batch job.
inline constexpr std::string_view kBatchUrl = "/v1/chat/completions";

// A line of an uploaded file that passed validation.
struct BatchItem {
  std::string custom_id;
  std::string model;
  std::string body;  // JSON text of the request
};

// A validation error in a line of an uploaded file. Lines are numbered from 1.
struct LineFinding {
  size_t line = 0;
  std::string message;
};

// The valid items of a text and all validation errors found in it.
struct BatchLines {
  std::vector<BatchItem> items;
  std::vector<LineFinding> findings;
};

// Parses JSON lines. Blank lines are skipped but count for line numbers. A line
// with findings yields no item.
BatchLines ParseBatchLines(std::string_view text);

// Formats each finding as a line of the form "line <number>: <message>".
std::string ToText(const std::vector<LineFinding>& findings);

// A range of complete lines and the number of non-blank lines in it.
struct LineSegment {
  std::string_view text;
  std::uint64_t items = 0;
};

// Splits `text` at line ends into segments of at most `max_bytes`. A longer
// line forms a segment of its own. Concatenating the segments yields `text`.
std::vector<LineSegment> SplitLines(std::string_view text, size_t max_bytes);

// Response of the backend server, with a success or an error status.
struct ItemResponse {
  int http_status = 0;
  std::string body;
};

// The item got no response from any backend server.
struct ItemError {
  std::string code;
  std::string message;
};

using ItemOutcome = std::variant<ItemResponse, ItemError>;

// Returns true for a response with status 2xx. All other outcomes are written
// to the error file.
bool IsSuccess(const ItemOutcome& outcome);

// Formats a line of the output or error file, including the line terminator.
std::string FormatResultLine(const std::string& id,
                             const std::string& custom_id,
                             const ItemOutcome& outcome);

// Encodes the output lines and error lines of a chunk as one stored object.
std::string JoinResultLines(const std::string& output_lines,
                            const std::string& error_lines);

enum class ResultKind { kOutput, kError };

// Returns the lines of one kind from an object made by JoinResultLines(), or
// nothing when the object is malformed.
std::optional<std::string> ResultLines(std::string_view object,
                                       ResultKind kind);

}  // namespace carawayrelay
