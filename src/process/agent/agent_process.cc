#include "process/agent/agent_process.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <utility>

#include "process/commands/exit_code.h"
#include "process/telemetry/log.h"
#include "process/transport/heap_settings.h"

namespace carawayrelay {
namespace {

constexpr size_t kEventCapacity = 16384;
// Each call that counts in the window has at most a start and a cancel in the
// command ring, and as many commands of calls that have ended may remain in it.
constexpr size_t kCommandsPerCall = 4;
// Time for the last messages to reach the entries before the connections close.
constexpr std::chrono::milliseconds kFlushTime{200};

std::string MakeRequestIdPrefix(const std::string& node) {
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", node, random(), random());
}

Result<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ErrorCode::kNotFound, "cannot read " + path};
  }
  return std::move(text).str();
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

Result<std::unique_ptr<AgentProcess>> AgentProcess::Make(
    AgentSettings settings) {
  std::unique_ptr<AgentProcess> agent(new AgentProcess(std::move(settings)));
  BOOST_OUTCOME_TRY(agent->Start());
  return agent;
}

AgentProcess::AgentProcess(AgentSettings settings)
    : settings_(std::move(settings)),
      spans_(std::random_device{}()),
      events_(kEventCapacity) {}

AgentProcess::~AgentProcess() {
  events_.Close();
  Wait();
  StopThreads();
}

Result<void> AgentProcess::Start() {
  BOOST_OUTCOME_TRY(
      telemetry_,
      TelemetryThread::Make({.resource = {.service_name = "carawayrelay-agent",
                                          .instance_id = settings_.node,
                                          .zone = settings_.zone},
                             .endpoint = settings_.traces_url}));
  events_.SetSpaceCallback([this] { link_->ResumeReading(); });
  BOOST_OUTCOME_TRY(
      backend_,
      BackendClient::Make(
          {.url = settings_.backend_url,
           .kind = settings_.backend_kind,
           .checks_fences = settings_.backend_checks_fences,
           .request_id_prefix = MakeRequestIdPrefix(settings_.node),
           .command_capacity =
               kCommandsPerCall * static_cast<size_t>(settings_.window.max)},
          [this](BackendEvent event) {
            EndSpan(event);
            std::visit([this](auto& e) { events_.Push(std::move(e)); }, event);
          }));
  BOOST_OUTCOME_TRY(
      link_, LinkThread::Make(
                 {.listen_address = settings_.listen_address,
                  .hello = {.node = settings_.node,
                            .role = Role::kAgent,
                            .zone = settings_.zone,
                            .routes = settings_.routes}},
                 [this](LinkEvent& event) { return DeliverLinkEvent(event); }));
  if (settings_.backend_kind == BackendKind::kModel) {
    BOOST_OUTCOME_TRY(
        load_poller_,
        LoadPoller::Make(
            {.url = settings_.backend_url, .interval = settings_.load_interval},
            [this](LoadReport report) {
              events_.TryPush(AdmissionEvent(report));
            }));
  }
  event_loop_thread_ = std::thread([this] { RunEventLoop(); });
  LogInfo(LogEvent::kAgentStarted,
          "agent accepts entries on {}; backend server at {}",
          settings_.listen_address, settings_.backend_url);
  return Success();
}

bool AgentProcess::DeliverLinkEvent(LinkEvent& event) {
  AdmissionEvent admission_event =
      std::visit([](auto& e) { return AdmissionEvent(std::move(e)); }, event);
  if (events_.TryPush(admission_event)) {
    return true;
  }
  std::visit(Overloaded{
                 [&](LinkUp& e) { event = std::move(e); },
                 [&](LinkMessage& e) { event = std::move(e); },
                 [&](LinkDown& e) { event = std::move(e); },
                 [](auto&) {},
             },
             admission_event);
  return false;
}

void AgentProcess::RunEventLoop() {
  AdmissionController controller({.zone = settings_.zone,
                                  .routes = settings_.routes,
                                  .window = settings_.window,
                                  .drain_limit = settings_.drain_limit},
                                 BootClock::now());
  std::optional<TimePoint> exit_at;
  const auto handle = [&](AdmissionEvent event, TimePoint now) {
    for (AdmissionAction& action : controller.Handle(std::move(event), now)) {
      if (Perform(action)) {
        LogInfo(LogEvent::kAgentDrained, "drained: no calls in progress");
        exit_at = now + kFlushTime;
      }
    }
  };
  TimePoint next_tick = BootClock::now() + AdmissionController::kTickInterval;
  while (!exit_at || BootClock::now() < *exit_at) {
    std::optional<AdmissionEvent> event = events_.PopUntil(next_tick);
    if (!event && events_.IsClosed()) {
      return;
    }
    const TimePoint now = BootClock::now();
    if (event) {
      handle(*std::move(event), now);
    }
    // Checked after each event too, so that a steady flow of events does not
    // delay the tick.
    if (now >= next_tick) {
      handle(Tick{}, now);
      next_tick = now + AdmissionController::kTickInterval;
    }
  }
}

bool AgentProcess::Perform(AdmissionAction& action) {
  bool is_drained = false;
  std::visit(Overloaded{
                 [&](SendMessage& a) {
                   link_->Send(a.connection, std::move(a.message));
                 },
                 [&](StartCall& a) {
                   const CallId id = a.call.call;
                   BeginSpan(a.call);
                   if (!backend_->Start(std::move(a.call))) {
                     // Must not wait for space: the backend client thread may
                     // be blocked until this thread reads its events.
                     LogError(
                         LogEvent::kBackendCommandLost,
                         "call {} gets no response: it was not sent to the "
                         "backend server, because the command ring is full",
                         static_cast<std::uint64_t>(id));
                   }
                 },
                 [&](CancelCall& a) {
                   if (!backend_->Cancel(a.call)) {
                     LogError(LogEvent::kBackendCommandLost,
                              "call {} was not cancelled and runs to its end: "
                              "command ring is full",
                              static_cast<std::uint64_t>(a.call));
                   }
                 },
                 [&](ConfigAdopted& a) {
                   link_->SetConfigVersion(a.config->version());
                   LogInfo(LogEvent::kAgentConfigAdopted,
                           "adopted configuration version {}",
                           ToInt(a.config->version()));
                 },
                 [&](ConfigRejected& a) {
                   LogError(LogEvent::kAgentConfigRejected,
                            "rejected configuration version {}: {}",
                            ToInt(a.version), a.reason);
                 },
                 [&](Drained&) { is_drained = true; },
             },
             action);
  return is_drained;
}

void AgentProcess::BeginSpan(const BackendCall& call) {
  std::lock_guard lock(spans_mutex_);
  spans_.Start(call, std::chrono::system_clock::now());
}

void AgentProcess::EndSpan(const BackendEvent& event) {
  std::optional<Span> span;
  {
    std::lock_guard lock(spans_mutex_);
    span = spans_.Finish(event, std::chrono::system_clock::now());
  }
  if (span) {
    telemetry_->TryPush(*std::move(span));
  }
}

void AgentProcess::Drain() {
  LogInfo(LogEvent::kAgentDraining,
          "graceful shutdown: online calls have {} ms to finish",
          settings_.drain_limit.count());
  events_.Push(StopRequested{});
}

void AgentProcess::Wait() {
  if (event_loop_thread_.joinable()) {
    event_loop_thread_.join();
  }
}

void AgentProcess::StopThreads() {
  // Closed first, so that no thread is blocked on a full event ring while it is
  // joined.
  events_.Close();
  if (load_poller_) {
    load_poller_->Stop();
  }
  if (backend_) {
    backend_->Stop();
  }
  if (link_) {
    link_->Stop();
  }
}

int RunAgent(const std::string& settings_path) {
  const Result<std::string> text = ReadFile(settings_path);
  if (!text) {
    std::fprintf(stderr, "%s\n", text.error().message.c_str());
    return static_cast<int>(ExitCode::kInvalidInput);
  }
  Findings findings;
  std::optional<AgentSettings> settings =
      ParseAgentSettings(text.value(), findings);
  if (!settings) {
    std::fprintf(stderr, "%s\n", findings.ToText().c_str());
    return static_cast<int>(ExitCode::kInvalidInput);
  }
  SetUpHeap();
  InitLog(settings->node, LogLevel::kInfo);
  // The threads started below inherit the mask, so that the signals reach only
  // sigwait() in this thread.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto agent = AgentProcess::Make(*std::move(settings));
  if (!agent) {
    LogError(LogEvent::kAgentStartFailed, "agent failed to start: {}",
             agent.error().message);
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  agent.value()->Drain();
  agent.value()->Wait();
  return 0;
}

}  // namespace carawayrelay
