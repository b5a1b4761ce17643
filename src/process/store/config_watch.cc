#include "process/store/config_watch.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "process/store/poll_backoff.h"
#include "process/telemetry/log.h"
#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

struct PublishCommand {
  ConfigVersion based_on = kNoConfig;
  std::string document;
  ConfigWatch::OnPublished callback;
};

struct PeerVersionCommand {
  ConfigVersion version = kNoConfig;
  std::string content_hash;
  std::string document;
};

struct RefreshCommand {
  ConfigWatch::OnState callback;
};

using Command =
    std::variant<PublishCommand, PeerVersionCommand, RefreshCommand>;

}  // namespace

class ConfigWatch::Impl {
 public:
  Impl(Options options,
       std::unique_ptr<BlockingStoreClient> store_client,
       OnEvent on_event)
      : options_(std::move(options)),
        on_event_(std::move(on_event)),
        store_client_(std::move(store_client)),
        config_store_(*store_client_),
        commands_(options_.command_capacity),
        random_(std::random_device()()) {}

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    commands_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
    // Destroys the callbacks of commands that did not run, while the objects
    // that they refer to still exist.
    while (commands_.TryPop()) {
    }
  }

  bool TryPush(Command command) { return commands_.TryPush(command); }

 private:
  void Run() {
    TimePoint next_poll = BootClock::now();
    while (!commands_.IsClosed()) {
      std::optional<Command> command = commands_.PopUntil(next_poll);
      if (commands_.IsClosed()) {
        return;
      }
      if (command) {
        std::visit([this](auto& c) { Execute(c); }, *command);
      }
      // Checked after each command, not only when no command came in time,
      // because a steady flow of commands would otherwise delay the polls.
      if (BootClock::now() >= next_poll) {
        const bool succeeded = Poll();
        next_poll =
            BootClock::now() + backoff_.Next(succeeded, uniform_(random_));
      }
    }
  }

  bool Poll() {
    if (!PollConfig()) {
      return false;
    }
    if (BootClock::now() >= next_vm_poll_) {
      PollVms();
      next_vm_poll_ = BootClock::now() + options_.vm_interval;
    }
    return true;
  }

  bool PollConfig() {
    const Result<ConfigPtr> newer = config_store_.ReadNewer(history_.version());
    last_poll_ = BootClock::now();
    if (!newer && newer.error().code == ErrorCode::kUnavailable) {
      SetStoreReachable(false, newer.error());
      return false;
    }
    SetStoreReachable(true, {});
    last_read_ = last_poll_;
    if (!newer) {
      LogError(
          LogEvent::kConfigRejected,
          "configuration in the store is invalid; keeping the current one: {}",
          newer.error().message);
    } else if (newer.value() != nullptr) {
      Adopt(newer.value());
    }
    return true;
  }

  void PollVms() {
    Result<std::vector<VmInfo>> vms = store_client_->ListVms();
    if (!vms) {
      LogWarning(LogEvent::kVmListUnreadable,
                 "cannot read the VM list; keeping the last one: {}",
                 vms.error().message);
      return;
    }
    std::vector<VmInfo> list = std::move(vms).value();
    // An empty list is wrong, because this process runs on a VM itself. Acting
    // on it would close all connections.
    if (list.empty() || list == vms_) {
      return;
    }
    vms_ = std::move(list);
    on_event_(VmsChanged{vms_});
  }

  void SetStoreReachable(bool is_reachable, const Error& error) {
    if (is_reachable == is_store_reachable_) {
      return;
    }
    is_store_reachable_ = is_reachable;
    if (is_reachable) {
      LogInfo(LogEvent::kStoreAvailable, "the store responds again");
    } else {
      LogWarning(LogEvent::kStoreUnavailable,
                 "the store does not respond; keeping the last configuration "
                 "and VM list: {}",
                 error.message);
    }
  }

  bool Adopt(const ConfigPtr& config) {
    const Result<bool> adopted = history_.Adopt(config);
    if (!adopted) {
      LogError(LogEvent::kConfigRejected, "cannot adopt the configuration: {}",
               adopted.error().message);
      return false;
    }
    if (adopted.value()) {
      LogInfo(LogEvent::kConfigAdopted,
              "adopted configuration version {} with content hash {}",
              ToInt(config->version()), config->content_hash());
      on_event_(ConfigAdopted{config});
    }
    return adopted.value();
  }

  void Execute(PublishCommand& command) {
    if (command.based_on < history_.version()) {
      command.callback(ConfigConflict{history_.version()});
      return;
    }
    const PublishOutcome outcome =
        config_store_.Publish(command.based_on, command.document);
    if (const auto* published = std::get_if<ConfigPublished>(&outcome)) {
      LogInfo(LogEvent::kConfigPublished,
              "an operator published configuration version {}",
              ToInt(published->config->version()));
      Adopt(published->config);
    }
    command.callback(outcome);
  }

  void Execute(PeerVersionCommand& command) {
    if (command.version <= history_.version()) {
      return;
    }
    Result<ConfigPtr> config =
        ConfigSnapshot::Make(command.version, std::move(command.document));
    if (!config) {
      LogError(LogEvent::kConfigRejected,
               "configuration version {} from a peer is invalid: {}",
               ToInt(command.version), config.error().message);
      return;
    }
    if (config.value()->content_hash() != command.content_hash) {
      LogError(LogEvent::kConfigRejected,
               "configuration version {} from a peer does not match its "
               "content hash {}",
               ToInt(command.version), command.content_hash);
      return;
    }
    Adopt(config.value());
  }

  void Execute(RefreshCommand& command) {
    // While the store is unavailable, a poll may take the whole request
    // timeout. A poll for every refresh would block the thread.
    if (is_store_reachable_ ||
        BootClock::now() >= last_poll_ + PollBackoff::kInterval) {
      PollConfig();
    }
    ConfigState state{.config = history_.current(), .vms = vms_};
    if (last_read_) {
      state.last_read_age =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              BootClock::now() - *last_read_);
    }
    command.callback(state);
  }

  const Options options_;
  const OnEvent on_event_;
  const std::unique_ptr<BlockingStoreClient> store_client_;
  ConfigStore config_store_;
  Ring<Command> commands_;
  ConfigHistory history_;
  std::vector<VmInfo> vms_;
  PollBackoff backoff_;
  TimePoint next_vm_poll_{};
  TimePoint last_poll_{};
  std::optional<TimePoint> last_read_;
  bool is_store_reachable_ = true;
  std::minstd_rand random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::thread thread_;
};

Result<std::unique_ptr<ConfigWatch>> ConfigWatch::Make(Options options,
                                                       OnEvent on_event) {
  BOOST_OUTCOME_TRY(std::unique_ptr<BlockingStoreClient> store_client,
                    BlockingStoreClient::Make(options.store_client));
  auto impl = std::make_unique<Impl>(
      std::move(options), std::move(store_client), std::move(on_event));
  impl->Start();
  return std::unique_ptr<ConfigWatch>(new ConfigWatch(std::move(impl)));
}

ConfigWatch::ConfigWatch(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ConfigWatch::~ConfigWatch() {
  Stop();
}

bool ConfigWatch::TryPublish(ConfigVersion based_on,
                             std::string document,
                             OnPublished callback) {
  return impl_->TryPush(PublishCommand{.based_on = based_on,
                                       .document = std::move(document),
                                       .callback = std::move(callback)});
}

bool ConfigWatch::TryAdoptFromPeer(ConfigVersion version,
                                   std::string content_hash,
                                   std::string document) {
  return impl_->TryPush(
      PeerVersionCommand{.version = version,
                         .content_hash = std::move(content_hash),
                         .document = std::move(document)});
}

bool ConfigWatch::TryRefresh(OnState callback) {
  return impl_->TryPush(RefreshCommand{.callback = std::move(callback)});
}

void ConfigWatch::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
