#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "carawayrelay/version.h"
#include "process/store/blocking_store_client.h"

namespace carawayrelay {

// The document is the current configuration.
struct ConfigPublished {
  ConfigPtr config;
};

// Another operator's write came first, or `based_on` was not the current
// version. Nothing of this write is in effect.
struct ConfigConflict {
  ConfigVersion current = kNoConfig;
};

// kInvalid, kConflict with an unreadable current version, kUnavailable (nothing
// was written) or kUnknown (the write may be in effect).
struct ConfigFailed {
  Error error;
};

using PublishOutcome =
    std::variant<ConfigPublished, ConfigConflict, ConfigFailed>;

// The configuration in the platform's services: the row config/current names
// an immutable object by version and content hash.
class ConfigStore {
 public:
  explicit ConfigStore(BlockingStoreClient& store_client)
      : store_client_(store_client) {}

  // Returns the current configuration when its version is above `known`, else
  // nullptr. Fails with kInvalid when the row or the object is damaged.
  Result<ConfigPtr> ReadNewer(ConfigVersion known_version);

  // Writes the object and then the row by compare-and-set. A lost response is
  // read back first.
  PublishOutcome Publish(ConfigVersion based_on, const std::string& document);

 private:
  struct Pointer {
    ConfigVersion version = kNoConfig;
    std::string hash;
    std::string object;
    std::string etag;  // empty when the row does not exist
  };

  Result<Pointer> ReadPointer();
  PublishOutcome ResolveLostWrite(const ConfigPtr& config, const Error& error);

  BlockingStoreClient& store_client_;
};

}  // namespace carawayrelay
