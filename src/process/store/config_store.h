#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "carawayrelay/version.h"
#include "process/store/blocking_store_client.h"

namespace carawayrelay {

// The published document is now the current configuration.
struct ConfigPublished {
  ConfigPtr config;
};

// Another operator published first, or `based_on` was not the current version.
// This write has no effect.
struct ConfigConflict {
  ConfigVersion current = kNoConfig;
};

// The code is kInvalid (the row or the document is malformed), kConflict
// (another write came first and the current version could not be determined),
// kUnavailable (the configuration is unchanged) or kUnknown (the write may be
// in effect).
struct ConfigFailed {
  Error error;
};

using PublishOutcome =
    std::variant<ConfigPublished, ConfigConflict, ConfigFailed>;

// Reads and publishes the configuration in the store. The row config/current
// names an immutable object by version and content hash. All calls block.
class ConfigStore {
 public:
  explicit ConfigStore(BlockingStoreClient& store_client)
      : store_client_(store_client) {}

  // Returns the current configuration if its version is above `known_version`,
  // else nullptr. Fails with kInvalid when the row or the object is damaged.
  Result<ConfigPtr> ReadNewer(ConfigVersion known_version);

  // Writes the object and then the row, by compare-and-set. If the response to
  // the write of the row is lost, reads the row to find out whether the write
  // took effect.
  PublishOutcome Publish(ConfigVersion based_on, const std::string& document);

 private:
  struct Pointer {
    ConfigVersion version = kNoConfig;
    std::string hash;
    std::string object;
    std::string etag;  // empty if the row does not exist
  };

  Result<Pointer> ReadPointer();
  PublishOutcome ResolveLostWrite(const ConfigPtr& config, const Error& error);

  BlockingStoreClient& store_client_;
};

}  // namespace carawayrelay
