#pragma once

#include "carawayrelay/request.h"
#include "version/config_snapshot.h"

namespace carawayrelay {

// The newest configuration that a process has seen. Versions only rise, so a
// late or restored copy of an old version cannot bring back what it allowed.
class ConfigHistory {
 public:
  // Returns true when `candidate` is newer than all before it and is now the
  // current one, and false when it is not newer. Fails with kConflict when it
  // has the current version but other content.
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
