#pragma once

#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "process/transport/http_client.h"

namespace carawayrelay {

// A configuration document and its version, as returned by an entry.
struct AdminConfig {
  ConfigVersion version = kNoConfig;
  ConfigDocument document;
};

// Blocking client of the admin API of one or more entries. Each request goes to
// the entries in order until one of them is available.
class AdminClient {
 public:
  // Fails with kInvalid if `urls` is empty or contains a malformed address.
  static Result<std::unique_ptr<AdminClient>> Make(
      const std::vector<std::string>& urls);

  // Fails with kUnavailable if no entry returns the configuration, and with
  // kInternal if the response cannot be decoded.
  Result<AdminConfig> Read();

  // Replaces the configuration by `document` if `based_on` is the current
  // version, and returns the new version. If a response is lost, reads the
  // configuration back and repeats the write if it is not in effect. Fails with
  // kInvalid, kConflict, kUnavailable (nothing was changed) or kUnknown (the
  // write may or may not have taken effect).
  Result<ConfigVersion> Publish(ConfigVersion based_on,
                                const ConfigDocument& document);

  // Returns the status of the entry at `url`, as JSON.
  static Result<std::string> Status(const std::string& url);

 private:
  explicit AdminClient(std::vector<std::unique_ptr<HttpClient>> entries)
      : entries_(std::move(entries)) {}

  // Sends the request to the entries in order until one returns something other
  // than kUnavailable.
  Result<std::string> Send(const HttpCall& call);

  std::vector<std::unique_ptr<HttpClient>> entries_;
};

}  // namespace carawayrelay
