#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "process/forward/runner_directory.h"
#include "process/limits/allowances.h"
#include "process/serving/event_loop_clock.h"
#include "process/telemetry/request_observed.h"
#include "process/transport/outbound_calls.h"
#include "request/client_call.h"
#include "request/event_cutter.h"
#include "version/serving_config.h"

namespace carawayrelay {

// All decisions about online requests of one entry: access, rate, choice of
// backend server, what is sent again and how the answer ends. One thread owns
// it; the time comes in with each call.
class OnlineForwarder {
 public:
  struct Options {
    std::string zone;
    std::uint64_t seed = 1;
    // Backend servers that may decline one request before it is refused.
    int max_offers = 4;
    // Backend servers asked for a free slot before a request is sent to the
    // best of them without one; 0 asks none.
    int max_holds = 2;
    // How long a slot stays reserved for a request that is on its way.
    std::chrono::milliseconds hold_time{400};
    // A stream that may be resumed is, after this long without an event.
    std::chrono::milliseconds resume_after_silence{700};
    // A backend server is avoided when a call gets nothing for this long.
    std::chrono::milliseconds silence_limit{500};
    // Told of each request that ended; may be empty.
    std::function<void(const RequestObserved&)> observe;
  };
  using Answer = std::function<void(ClientId, ClientAnswer)>;

  struct Counters {
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t abandoned = 0;  // by their clients
    std::uint64_t resent = 0;
    std::uint64_t held = 0;    // sent with a reserved slot
    std::uint64_t unheld = 0;  // sent without one
  };

  OnlineForwarder(Options options,
                  RunnerDirectory& runners,
                  Allowances& allowances,
                  OutboundCalls& calls,
                  const EventLoopClock& clock,
                  Answer answer);

  // Takes a request whose route and workspace were checked under `config`.
  void Arrive(ClientCall call,
              const ServingRoute& route,
              const ServingWorkspace* workspace,
              TimePoint now);
  void ClientGone(ClientId client);
  // Ends what is overdue and moves streams off silent backend servers.
  void Tick(TimePoint now);

  size_t active() const { return requests_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Request {
    ClientCall call;
    std::string route;
    std::string service;
    std::string workspace;
    bool is_stream = false;
    bool is_repeatable = false;
    int max_attempts = 1;
    TimePoint deadline{};
    // Of the running attempt.
    std::string runner;
    OutboundId out{0};
    bool is_sent = false;        // an attempt runs
    bool is_holding = false;     // a slot is being reserved
    std::set<std::string> full;  // backend servers without a free slot
    std::string hold;
    bool forwards = false;  // its bytes go to the client as they come
    int status = 0;
    bool is_signed = false;
    HeaderList headers;
    std::string body;
    EventCutter cutter;
    TimePoint heard_at{};
    bool is_silent = false;
    // Over all attempts.
    int attempts = 0;
    int offers = 0;
    bool may_have_run = false;
    bool head_sent = false;
    std::set<std::string> tried;
    std::string last_event;
    std::uint64_t last_event_number = 0;
    std::string last_failure;
    std::optional<RefusalCode> refused;
    std::optional<Duration> first_part;
    // Of this entry's hop, when the client traces the request.
    std::optional<TraceContext> span;
    std::uint64_t parent_span = 0;
  };

  // Finds a backend server for the request and sends it, after a slot was
  // reserved where that is offered.
  void Send(Request& request, TimePoint now);
  void AskHold(Request& request,
               const RunnerDirectory::Runner& runner,
               TimePoint now);
  void OnHoldAnswer(ClientId client,
                    const std::string& runner,
                    int status,
                    const std::string& body,
                    bool is_whole);
  void SendTo(Request& request, RunnerDirectory::Runner& runner, TimePoint now);
  void OnEvent(ClientId client, CallEvent& event);
  void On(Request& request, const CallHead& head, TimePoint now);
  void On(Request& request, CallData& data, TimePoint now);
  void On(Request& request, const CallEnd& end, TimePoint now);
  void ForwardEvents(Request& request, const std::string& bytes);
  void Decline(Request& request, const std::string& reason, TimePoint now);
  void FailAttempt(Request& request,
                   bool was_sent,
                   const std::string& reason,
                   TimePoint now);
  // Stops the running attempt without counting a failure.
  void DropAttempt(Request& request);
  void Refuse(Request& request, Refusal refusal, TimePoint now);
  void Finish(Request& request, const char* outcome, TimePoint now);
  // Makes the hop of this entry a part of the client's trace.
  void ContinueTrace(Request& request);
  std::string ChooseService(const ServingRoute& route);

  Options options_;
  RunnerDirectory& runners_;
  Allowances& allowances_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  Answer answer_;
  std::mt19937_64 random_;
  std::map<ClientId, Request> requests_;
  // Backend servers are not asked for slots before then, because one of them
  // does not offer that.
  TimePoint holds_from_{};
  Counters counters_;
};

}  // namespace carawayrelay
