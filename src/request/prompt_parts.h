#pragma once

#include <string>
#include <vector>

namespace carawayrelay {

// Ids of the parts of a prompt that other requests may share, in the order of
// the prompt.
using PromptParts = std::vector<std::string>;

// Returns the ids separated by commas, for log lines.
inline std::string JoinIds(const PromptParts& parts) {
  std::string text;
  for (const std::string& id : parts) {
    text += (text.empty() ? "" : ",") + id;
  }
  return text;
}

}  // namespace carawayrelay
