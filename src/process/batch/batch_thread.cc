#include "process/batch/batch_thread.h"

#include <cassert>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

// Longest time between two checks of the dispatcher's timers.
constexpr std::chrono::milliseconds kTickInterval{100};
// Sizes the request ring for all requests that can be in flight at once: one
// list, one scan for each known job, and two of the claims, commits and
// releases for each chunk.
constexpr size_t kRequestsPerChunk = 2;

}  // namespace

Result<std::unique_ptr<BatchThread>> BatchThread::Make(
    const Options& options,
    Send send,
    std::function<void()> on_space) {
  std::unique_ptr<BatchThread> made(new BatchThread(options, std::move(send)));
  made->events_.SetSpaceCallback(std::move(on_space));
  const auto deliver = [thread = made.get()](BatchEvent event) {
    thread->events_.Push(std::move(event));
  };
  BOOST_OUTCOME_TRY(
      made->store_,
      BatchStoreThread::Make(
          {.worker = {.node = options.node, .lease = options.lease},
           .platform = options.platform,
           .request_capacity =
               options.dispatcher.max_chunks * kRequestsPerChunk +
               options.dispatcher.jobs.max_known_jobs + 1},
          deliver));
  BOOST_OUTCOME_TRY(made->api_,
                    BatchApiThread::Make({.api = options.api,
                                          .store = options.store,
                                          .store_client = options.platform},
                                         deliver));
  made->thread_ = std::thread([thread = made.get()] { thread->Run(); });
  return made;
}

BatchThread::BatchThread(const Options& options, Send send)
    : options_(options),
      send_(std::move(send)),
      events_(options.event_capacity),
      dispatcher_(options.dispatcher) {}

BatchThread::~BatchThread() {
  Stop();
}

bool BatchThread::DeliverLink(LinkEvent& event) {
  BatchEvent wrapped =
      std::visit([](auto& e) -> BatchEvent { return std::move(e); }, event);
  if (events_.TryPush(wrapped)) {
    return true;
  }
  std::visit(Overloaded{[&](LinkUp& e) { event = std::move(e); },
                        [&](LinkMessage& e) { event = std::move(e); },
                        [&](LinkDown& e) { event = std::move(e); },
                        [](auto& other) { assert(false); }},
             wrapped);
  return false;
}

void BatchThread::SetConfig(ConfigPtr config) {
  events_.Push(BatchConfigChanged{std::move(config)});
}

bool BatchThread::TryCall(BatchHttpRequest& call) {
  return api_->TryEnqueue(call);
}

void BatchThread::Stop() {
  if (api_) {
    api_->Stop();
  }
  if (thread_.joinable()) {
    events_.Push(StopRequested{});
    thread_.join();
  }
  // Closed before the store thread is joined, which could otherwise block on
  // pushing an event into the full ring.
  events_.Close();
  if (store_) {
    store_->Stop();
  }
}

void BatchThread::Run() {
  std::optional<TimePoint> stop_deadline;
  while (!is_finished_) {
    std::optional<BatchEvent> event =
        events_.PopUntil(BootClock::now() + kTickInterval);
    const TimePoint now = BootClock::now();
    if (event && std::holds_alternative<StopRequested>(*event)) {
      stop_deadline = now + options_.stop_timeout;
    }
    if (stop_deadline && now >= *stop_deadline) {
      break;
    }
    for (BatchAction& action : dispatcher_.Handle(
             event ? *std::move(event) : BatchEvent(Tick{}), now)) {
      Perform(action);
    }
  }
  LogInfo(LogEvent::kBatchStopped,
          "batch thread stopped; {} chunks neither committed nor released",
          dispatcher_.held_chunk_count());
}

void BatchThread::Perform(BatchAction& action) {
  std::visit(
      Overloaded{
          [&](SendToAgent& a) { send_(a.connection, std::move(a.message)); },
          [&](BatchStoreRequest& a) {
            // The ring holds all requests that the dispatcher's options allow
            // at once.
            const bool is_taken = store_->TryRequest(std::move(a));
            assert(is_taken);
            static_cast<void>(is_taken);
          },
          [&](BatchStopFinished&) { is_finished_ = true; }},
      action);
}

}  // namespace carawayrelay
