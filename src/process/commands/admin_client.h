#pragma once

#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "process/transport/http_client.h"

namespace carawayrelay {

// The configuration as an entry returned it.
struct AdminConfig {
  ConfigVersion version = kNoConfig;
  ConfigDocument document;
};

// Client of the admin API of one or more entries. Tries them in order until
// one answers. Blocking.
class AdminClient {
 public:
  // Fails with kInvalid when there is no address or one is malformed.
  static Result<std::unique_ptr<AdminClient>> Make(
      const std::vector<std::string>& urls);

  // Fails with kUnavailable when no entry can read the configuration.
  Result<AdminConfig> Read();

  // Makes `document` the configuration if `based_on` is the current version,
  // and returns the new version. When a response is lost, the configuration is
  // read back and the write repeated if it is not in effect. Fails with
  // kInvalid, kConflict, kUnavailable (nothing was changed) or kUnknown.
  Result<ConfigVersion> Publish(ConfigVersion based_on,
                                const ConfigDocument& document);

  // The status of the entry with this address, as JSON.
  static Result<std::string> Status(const std::string& url);

 private:
  explicit AdminClient(std::vector<std::unique_ptr<HttpClient>> entries)
      : entries_(std::move(entries)) {}

  // Sends to the entries in turn while they are not available.
  Result<std::string> Send(const HttpCall& call);

  std::vector<std::unique_ptr<HttpClient>> entries_;
};

}  // namespace carawayrelay
