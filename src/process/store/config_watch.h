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

// The list of VMs changed. It contains the running VMs and those that are
// leaving.
struct VmsChanged {
  std::vector<VmInfo> vms;
};

using ConfigEvent = std::variant<ConfigAdopted, VmsChanged>;

// State of the config thread, for operators.
struct ConfigState {
  ConfigPtr config;  // nullptr until a configuration is adopted
  std::vector<VmInfo> vms;
  // Time since the store last responded to a read of the configuration. Not set
  // before the first response.
  std::optional<std::chrono::milliseconds> last_read_age;
};

// The config thread: polls the store for the configuration and the VM list,
// keeps the last known ones while the store is unavailable, and publishes the
// changes that operators make.
class ConfigWatch {
 public:
  // Called on the config thread; may block while a ring is full.
  using OnEvent = std::function<void(ConfigEvent)>;
  using OnPublished = std::function<void(PublishOutcome)>;
  using OnState = std::function<void(const ConfigState&)>;

  struct Options {
    // The timeout is short, so that a store that does not respond delays the
    // polls by little more than PollBackoff::kMaxDelay.
    BlockingStoreClient::Options store_client{
        .request_timeout = std::chrono::milliseconds(1000)};
    std::chrono::milliseconds vm_interval{2000};
    size_t command_capacity = 256;
  };

  // Starts the thread. Fails with kInvalid when the address of the store is
  // malformed.
  static Result<std::unique_ptr<ConfigWatch>> Make(Options options,
                                                   OnEvent on_event);
  ~ConfigWatch();

  // TryPublish, TryAdoptFromPeer and TryRefresh can be called from any thread
  // and do not block. They return false when the command ring is full or
  // closed; the callback is then not called. Otherwise it is called on the
  // config thread, unless Stop() comes first.

  // Publishes `document` if `based_on` is the current version.
  bool TryPublish(ConfigVersion based_on,
                  std::string document,
                  OnPublished callback);
  // Adopts a version that another process sent, if it is newer than the current
  // version and matches its content hash.
  bool TryAdoptFromPeer(ConfigVersion version,
                        std::string content_hash,
                        std::string document);
  // Polls the store at once and reports the state. While the store is
  // unavailable, polls at most once in PollBackoff::kInterval and reports the
  // last known state.
  bool TryRefresh(OnState callback);

  // Joins the thread. Commands that have not run are dropped, and their
  // callbacks are not called.
  void Stop();

 private:
  class Impl;
  explicit ConfigWatch(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
