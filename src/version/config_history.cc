#include "version/config_history.h"

#include <cassert>
#include <string>
#include <utility>

namespace carawayrelay {

Result<bool> ConfigHistory::Adopt(ConfigPtr candidate) {
  assert(candidate != nullptr);
  if (candidate->version() > version()) {
    current_ = std::move(candidate);
    return true;
  }
  if (candidate->version() == version() && current_ != nullptr &&
      candidate->content_hash() != current_->content_hash()) {
    return Error{ErrorCode::kConflict,
                 "two documents for configuration version " +
                     std::to_string(ToInt(version())) + ": " +
                     current_->content_hash() + " and " +
                     candidate->content_hash()};
  }
  return false;
}

}  // namespace carawayrelay
