#pragma once

#include <string>
#include <utility>
#include <vector>

namespace carawayrelay {

// A problem in a settings file or configuration document, with its location.
struct Finding {
  std::string path;  // JSON pointer, such as "/keys/2/workspace"
  std::string message;
};

// Collects all problems of one input, so that one attempt reports all of them.
class Findings {
 public:
  void Add(std::string path, std::string message) {
    items_.push_back({std::move(path), std::move(message)});
  }

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  // One line for each finding: "<path>: <message>".
  std::string ToText() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace carawayrelay
