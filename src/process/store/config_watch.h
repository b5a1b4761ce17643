#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/version.h"
#include "process/dispatch/common_event.h"
#include "process/store/blocking_store_client.h"
#include "process/store/config_store.h"

namespace carawayrelay {

// The list of live and leaving VMs changed.
struct VmsChanged {
  std::vector<VmInfo> vms;
};

using ConfigEvent = std::variant<ConfigAdopted, VmsChanged>;

// What the config thread knows, for operators.
struct ConfigState {
  ConfigPtr config;  // nullptr before the first adoption
  std::vector<VmInfo> vms;
  // Time since the last successful read from the platform; nothing before the
  // first.
  std::optional<std::chrono::milliseconds> last_read_age;
};

// The config thread: polls the platform for the configuration and the VM list,
// keeps the last known ones while the platform is away, and makes the
// operators' writes.
class ConfigWatch {
 public:
  // Runs on the config thread; may wait for room in a ring.
  using OnEvent = std::function<void(ConfigEvent)>;
  using OnPublished = std::function<void(PublishOutcome)>;
  using OnState = std::function<void(const ConfigState&)>;

  struct Options {
    // Short timeouts, so that a hanging platform does not delay the polls by
    // much more than PollBackoff::kMaxDelay.
    BlockingStoreClient::Options store_client{
        .request_timeout = std::chrono::milliseconds(1000)};
    std::chrono::milliseconds vm_interval{2000};
    size_t command_capacity = 256;
  };

  // Starts the thread. Fails with kInvalid for a malformed platform address.
  static Result<std::unique_ptr<ConfigWatch>> Make(Options options,
                                                   OnEvent on_event);
  ~ConfigWatch();

  // The commands below may be given from any thread, do not wait, and return
  // false when the command ring is full or closed; `reply` is then not called.
  // Otherwise it is called on the config thread, unless the watch stops first.

  // Makes `document` the configuration if `based_on` is the current version.
  bool TryPublish(ConfigVersion based_on,
                  std::string document,
                  OnPublished callback);
  // Offers a version that another process sent. Its hash is checked.
  bool TryAdoptFromPeer(ConfigVersion version,
                        std::string content_hash,
                        std::string document);
  // Polls the platform at once and reports the state, or the last known state
  // when the platform is away.
  bool TryRefresh(OnState callback);

  // Joins the thread. Commands that still wait are dropped with their replies.
  void Stop();

 private:
  class Impl;
  explicit ConfigWatch(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
