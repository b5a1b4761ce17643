#pragma once

#include "carawayrelay/request.h"
#include "version/config_snapshot.h"

namespace carawayrelay {

// The newest configuration that a process has received. The version never
// decreases, so a delayed or restored copy of an old version cannot grant
// access again that a newer version removed.
class ConfigHistory {
 public:
  // Makes `candidate` the current configuration and returns true when its
  // version is greater than the current one; otherwise returns false. Fails
  // with kConflict when it has the current version but other content.
  Result<bool> Adopt(ConfigPtr candidate);

  // kNoConfig before the first adoption.
  ConfigVersion version() const {
    return current_ == nullptr ? kNoConfig : current_->version();
  }
  // nullptr before the first adoption.
  const ConfigPtr& current() const { return current_; }

 private:
  ConfigPtr current_;
};

}  // namespace carawayrelay
