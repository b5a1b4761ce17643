#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "connection/message.h"

namespace carawayrelay {

// Checks that the response of an attempt is complete: the parts are numbered
// without gaps and End carries the right number of parts.
class StreamAssembler {
 public:
  // Returns nothing when `part` is the next part, else a description of the
  // error.
  std::optional<std::string> Accept(const Part& part);
  // Returns nothing when no part is missing, else a description of the error.
  std::optional<std::string> Finish(const End& end) const;

  std::uint64_t parts() const { return parts_; }

 private:
  std::uint64_t parts_ = 0;
};

}  // namespace carawayrelay
