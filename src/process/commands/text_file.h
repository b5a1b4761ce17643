#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <utility>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Returns the content of the file. Fails with kInvalid if it cannot be read.
inline Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || (!(text << file.rdbuf()) && !file.eof())) {
    return Error{ErrorCode::kInvalid, "cannot read " + path};
  }
  return std::move(text).str();
}

}  // namespace carawayrelay
