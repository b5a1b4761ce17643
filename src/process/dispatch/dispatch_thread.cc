#include "process/dispatch/dispatch_thread.h"

#include <algorithm>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

// Bounds the time until a disconnected client is detected while no data is sent
// to it.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};
constexpr std::chrono::seconds kMaxSleep{1};

}  // namespace

DispatchThread::DispatchThread(Dispatcher::Options options, Hooks hooks)
    : hooks_(std::move(hooks)), dispatcher_(std::move(options)) {
  // The link thread pauses reading while the ring is full.
  ring_.SetSpaceCallback([this] { link_->ResumeReading(); });
}

DispatchThread::~DispatchThread() {
  Stop();
}

void DispatchThread::Start(LinkThread& link) {
  link_ = &link;
  thread_ = std::thread([this] { Run(); });
}

void DispatchThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  responses_.Clear();
}

void DispatchThread::WaitDrained() {
  std::unique_lock lock(drained_mutex_);
  drained_changed_.wait(lock, [&] { return is_drained_; });
}

void DispatchThread::Run() {
  while (true) {
    std::optional<DispatchInput> input = ring_.PopUntil(NextWake());
    if (input) {
      HandleInput(*std::move(input));
    } else if (ring_.IsClosed()) {
      return;
    }
    const TimePoint now = BootClock::now();
    const std::optional<TimePoint> deadline = dispatcher_.NextDeadline();
    if (deadline && *deadline <= now) {
      Handle(Tick{});
    }
    if (next_disconnect_poll_ <= now) {
      next_disconnect_poll_ = now + kDisconnectPollInterval;
      PollDisconnects();
    }
  }
}

TimePoint DispatchThread::NextWake() const {
  TimePoint wake = BootClock::now() + kMaxSleep;
  if (!responses_.empty()) {
    wake = std::min(wake, next_disconnect_poll_);
  }
  return std::min(wake, dispatcher_.NextDeadline().value_or(wake));
}

void DispatchThread::PollDisconnects() {
  for (const RequestId request : responses_.TakeDisconnected()) {
    Handle(ClientDisconnected{request});
  }
}

void DispatchThread::HandleInput(DispatchInput input) {
  if (input.exchange) {
    if (const auto* arrived = std::get_if<RequestArrived>(&input.event)) {
      responses_.Add(arrived->request.id, std::move(input.exchange));
    } else if (const auto* models_requested =
                   std::get_if<ModelsRequested>(&input.event)) {
      responses_.Add(models_requested->request, std::move(input.exchange));
    }
  }
  Handle(std::move(input.event));
}

void DispatchThread::Handle(DispatchEvent event) {
  local_events_.push_back(std::move(event));
  while (!local_events_.empty()) {
    DispatchEvent next = std::move(local_events_.front());
    local_events_.pop_front();
    ConfigPtr config;
    if (const auto* adopted = std::get_if<ConfigAdopted>(&next)) {
      config = adopted->config;
    }
    const ConfigVersion before = dispatcher_.config_version();
    for (DispatchAction& action :
         dispatcher_.Handle(std::move(next), BootClock::now())) {
      std::visit([this](auto& a) { Perform(a); }, action);
    }
    if (dispatcher_.config_version() != before) {
      LogInfo(LogEvent::kConfigInEffect,
              "configuration version {} is in effect",
              ToInt(config->version()));
      link_->SetConfigVersion(config->version());
      if (hooks_.config_adopted) {
        hooks_.config_adopted(config);
      }
    }
  }
}

void DispatchThread::Perform(SendMessage& action) {
  link_->Send(action.connection, std::move(action.message));
}

void DispatchThread::Perform(CloseConnection& action) {
  link_->CloseConnection(action.connection);
}

void DispatchThread::Perform(SendResponse& action) {
  responses_.Perform(std::move(action));
}

void DispatchThread::Perform(SendModels& action) {
  responses_.Perform(action);
}

void DispatchThread::Perform(ForwardPart& action) {
  const RequestId request = action.request;
  if (!responses_.Perform(std::move(action))) {
    local_events_.emplace_back(ClientDisconnected{request});
  }
}

void DispatchThread::Perform(FinishStream& action) {
  responses_.Perform(action);
}

void DispatchThread::Perform(AbortStream& action) {
  responses_.Perform(action);
}

void DispatchThread::Perform(Refuse& action) {
  responses_.Perform(action);
}

void DispatchThread::Perform(RecordIntent& action) {
  const RequestId request = action.request;
  if (!hooks_.perform_intent || !hooks_.perform_intent(std::move(action))) {
    local_events_.emplace_back(IntentFailed{
        .request = request,
        .reason = "the store that keeps Idempotency-Keys is not available"});
  }
}

void DispatchThread::Perform(CompleteIntent& action) {
  if (hooks_.perform_intent) {
    hooks_.perform_intent(std::move(action));
  }
}

void DispatchThread::Perform(ReleaseIntent& action) {
  if (hooks_.perform_intent) {
    hooks_.perform_intent(std::move(action));
  }
}

void DispatchThread::Perform(ProposeConfig& action) {
  if (hooks_.propose_config) {
    hooks_.propose_config(std::move(action.update));
    return;
  }
  auto config = ConfigSnapshot::Make(action.update.version,
                                     std::move(action.update.document));
  if (!config || config.value()->content_hash() != action.update.content_hash) {
    LogError(LogEvent::kConfigUpdateInvalid,
             "rejected configuration version {} from another process: {}",
             ToInt(action.update.version),
             config ? "content hash does not match the document"
                    : config.error().message);
    return;
  }
  local_events_.emplace_back(ConfigAdopted{std::move(config).value()});
}

void DispatchThread::Perform(ReportReady& action) {
  LogInfo(LogEvent::kEntryReadiness, "entry is now {}",
          action.ready ? "ready" : "not ready");
  is_ready_ = action.ready;
}

void DispatchThread::Perform(Drained& action) {
  {
    std::lock_guard lock(drained_mutex_);
    is_drained_ = true;
  }
  drained_changed_.notify_all();
}

void DispatchThread::Perform(ReportAcknowledged& action) {
  if (hooks_.report_acknowledged_fences) {
    hooks_.report_acknowledged_fences(action.shards);
  }
}

void DispatchThread::Perform(RequestObserved& action) {
  if (hooks_.request_finished) {
    hooks_.request_finished(action);
  }
}

}  // namespace carawayrelay
