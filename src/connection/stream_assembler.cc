#include "connection/stream_assembler.h"

namespace carawayrelay {

std::optional<std::string> StreamAssembler::Accept(const Part& part) {
  if (part.sequence != parts_) {
    return "part " + std::to_string(part.sequence) + " came in place of part " +
           std::to_string(parts_);
  }
  ++parts_;
  return std::nullopt;
}

std::optional<std::string> StreamAssembler::Finish(const End& end) const {
  if (end.parts != parts_) {
    return "answer ended after " + std::to_string(parts_) + " of " +
           std::to_string(end.parts) + " parts";
  }
  return std::nullopt;
}

}  // namespace carawayrelay
