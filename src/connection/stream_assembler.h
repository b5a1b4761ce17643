#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "connection/message.h"

namespace carawayrelay {

// Checks that the answer of one attempt is whole: numbered without a gap and
// ended with the right count.
class StreamAssembler {
 public:
  // Returns nothing when the part is the next one, else what is wrong.
  std::optional<std::string> Accept(const Part& part);
  // Returns nothing when no part is missing, else what is wrong.
  std::optional<std::string> Finish(const End& end) const;

  std::uint64_t parts() const { return parts_; }

 private:
  std::uint64_t parts_ = 0;
};

}  // namespace carawayrelay
