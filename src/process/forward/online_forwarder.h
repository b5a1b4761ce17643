#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "process/forward/attempt_outcome.h"
#include "process/forward/backend_directory.h"
#include "process/forward/pace_prober.h"
#include "process/forward/returning_clients.h"
#include "process/limits/rate_admission.h"
#include "process/quarantine/prompt_quarantine.h"
#include "process/quarantine/prompt_trials.h"
#include "process/serving/event_loop_clock.h"
#include "process/telemetry/request_observed.h"
#include "process/transport/outbound_calls.h"
#include "request/client_call.h"
#include "request/sse_event_splitter.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Makes all decisions about the online requests of one frontend: admission by
// rate, choice of the backend server, retries, and how the response ends. Not
// thread-safe: it is owned by the event loop thread, which passes the current
// time with each call.
class OnlineForwarder {
 public:
  struct Options {
    std::string zone;
    std::uint64_t seed = 1;
    // How often one request may be sent before it is refused. Attempts that
    // reach a different backend server than intended do not count.
    int max_sends = 4;
    // How many backend servers may fail to reserve a slot for a request before
    // it is sent without a reservation; 0 disables reservations.
    int max_reservation_attempts = 2;
    // How long the backend server keeps a reserved slot free for the request.
    std::chrono::milliseconds reservation_time{400};
    // A repeatable request is moved to another backend server after this long
    // without progress, if it has attempts left.
    std::chrono::milliseconds resume_after_silence{700};
    // A backend server is avoided when a call makes no progress for this long.
    std::chrono::milliseconds silence_limit{500};
    // Called for each request that ended; may be empty.
    std::function<void(const RequestObserved&)> observe;
    // Called after each event with data of an attempt; may be empty.
    std::function<void(const AttemptOutcome&, TimePoint now)> observe_event;
    // Called for each attempt that ended; may be empty.
    std::function<void(const AttemptOutcome&, TimePoint now)> observe_attempt;
    // Called once for each attempt that made no progress for `silence_limit`,
    // while it runs; may be empty.
    std::function<void(const std::string& backend_id, TimePoint now)>
        observe_silence;
  };
  using ResponseCallback =
      std::function<void(ClientCallId, ClientResponseEvent)>;

  struct Counters {
    std::uint64_t served = 0;     // forwarded a complete response
    std::uint64_t refused = 0;    // refused before the response head was sent
    std::uint64_t broken = 0;     // failed after the response head was sent
    std::uint64_t abandoned = 0;  // their clients disconnected
    std::uint64_t resent = 0;     // attempts repeated after a failure
    // Not sent, because backend servers crash on a part of the prompt.
    std::uint64_t quarantined = 0;
    // Attempts that were sent with and without a reserved slot.
    std::uint64_t with_reservation = 0;
    std::uint64_t without_reservation = 0;
  };

  OnlineForwarder(Options options,
                  BackendDirectory& backends,
                  RateAdmission& rates,
                  PromptQuarantine& quarantine,
                  PromptTrials& trials,
                  OutboundCalls& calls,
                  const EventLoopClock& clock,
                  ResponseCallback send_response);

  // Returns when the time limits of the client and of the route end.
  static TimePoint DeadlineOf(const ClientCall& call,
                              const ServingRoute& route);
  // Accepts a request whose route and access were already checked.
  // `workspace` is nullptr on routes that are open to all. The response may be
  // sent before this returns.
  void HandleRequest(ClientCall call,
                     const ServingRoute& route,
                     const ServingWorkspace* workspace,
                     TimePoint now);
  void OnClientDisconnected(ClientCallId client);
  // Refuses requests whose deadline passed and moves repeatable requests away
  // from backend servers that stopped responding.
  void Tick(TimePoint now);
  // Ends all requests, because the process stops: refuses those that were not
  // sent to a backend server, and answers the others that they may have run.
  void Stop(TimePoint now);

  // Bytes of responses that are held until they are complete.
  size_t buffered_bytes() const { return buffered_bytes_; }
  PaceProber& prober() { return prober_; }
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
    // State of the current attempt.
    std::string backend_id;
    OutboundCallId outbound_id{0};
    bool is_attempt_running = false;  // sent, and the call has not ended
    bool is_reserving = false;        // a reservation call is running
    // Backend servers that failed to reserve a slot for the request. Kept for
    // all attempts.
    std::set<std::string> full_backends;
    std::string reservation_id;  // empty without a reservation
    // Whether events go to the client as they arrive; otherwise the response is
    // buffered until it is complete.
    bool is_forwarding = false;
    int status = 0;
    bool is_signed = false;
    bool ends_with_connection = false;  // see BackendResponseHead
    HeaderList headers;
    std::string body;
    SseEventSplitter event_splitter;
    // A complete event with data, or bytes of a buffered response, arrived.
    bool has_attempt_event = false;
    // When the head or the latest complete event arrived. Single bytes and
    // comments do not count, so that a stalled server that sends some now and
    // then is noticed.
    TimePoint last_progress_at{};
    // Whether the quarantine knows that the answer has gone on for long.
    bool is_progress_noted = false;
    // Whether the silence of this attempt was recorded as a failure.
    bool is_silence_recorded = false;
    TimePoint attempt_started_at{};
    std::optional<Duration> attempt_first_event;
    Duration attempt_longest_pause{0};
    std::uint64_t attempt_events = 0;
    // State over all attempts.
    int attempts = 0;  // failed after the request was sent
    int sends = 0;     // limited by Options::max_sends
    // Set while the request tries a quarantined part of its prompt again.
    std::optional<TrialGrant> trial;
    // A backend server may have got the request of the trial.
    bool is_trial_sent = false;
    // Set while the request waits for the right to a trial.
    std::optional<TimePoint> asking_since;
    // A backend server may have started to run the request.
    bool may_have_run = false;
    bool head_sent = false;  // the response head was sent to the client
    std::set<std::string> tried_backends;
    std::string last_event;
    std::uint64_t last_event_number = 0;
    std::string last_failure;
    std::optional<RefusalCode> refused;
    std::optional<Duration> first_part;
    // From the arrival until the rate of the workspace was decided.
    Duration rate_wait{0};
    // Span of this frontend, if the client traces the request.
    std::optional<TraceContext> span;
    std::uint64_t parent_span = 0;
  };

  void OnRateVerdict(ClientCallId client, const RateVerdict& verdict);
  // Asks backend servers for their pace first where that helps, then calls
  // ChooseAndSend().
  void ProbeAndSend(Request& request, TimePoint now);
  // Chooses a backend server and sends the request to it. For a stream with a
  // known number of tokens, a slot is reserved first, unless reservations are
  // paused or failed at max_reservation_attempts backend servers. Refuses the
  // request if there is no usable backend server or max_sends is reached.
  void ChooseAndSend(Request& request, TimePoint now);
  void RequestReservation(Request& request,
                          const BackendDirectory::Backend& backend,
                          TimePoint now);
  void OnReservationResponse(ClientCallId client,
                             const std::string& backend_id,
                             int status,
                             const std::string& body,
                             bool is_complete);
  void SendTo(Request& request,
              BackendDirectory::Backend& backend,
              TimePoint now);
  void OnEvent(ClientCallId client, CallEvent& event);
  void HandleEvent(Request& request, const CallHead& head, TimePoint now);
  void HandleEvent(Request& request, CallData& data, TimePoint now);
  void HandleEvent(Request& request, const CallEnd& end, TimePoint now);
  // Tells the quarantine how the answer of the current attempt ended.
  void NoteWholeAnswer(const Request& request, TimePoint now);
  void NoteBrokenAnswer(const Request& request,
                        const CallEnd& end,
                        TimePoint now);
  // Whether the request may be sent. If backend servers crash on its prompt,
  // refuses it, or asks for the right to try the prompt again.
  bool IsAdmitted(Request& request, TimePoint now);
  void OnTrialAnswer(ClientCallId client, const PromptTrials::Answer& answer);
  void RefuseQuarantined(Request& request,
                         const PromptTrials::Refused& refusal,
                         TimePoint now);
  // Returns why the response of the current attempt is not complete, or
  // std::nullopt.
  static std::optional<std::string> BreakReason(const Request& request,
                                                const CallEnd& end);
  // Drops what was buffered of the response of the current attempt.
  void ClearBody(Request& request);
  void ForwardEvents(Request& request, const std::string& bytes, TimePoint now);
  void HandleDecline(Request& request,
                     const std::string& reason,
                     TimePoint now);
  void FailAttempt(Request& request,
                   bool was_sent,
                   const std::string& reason,
                   TimePoint now);
  // Records an event with data of the current attempt.
  void NoteAttemptEvent(Request& request, TimePoint now);
  static AttemptOutcome OutcomeOf(const Request& request,
                                  AttemptResult result,
                                  TimePoint now);
  // Reports the end of the current attempt, if one is running, to the observer.
  void ReportAttempt(const Request& request,
                     AttemptResult result,
                     TimePoint now);
  // Stops the current attempt without counting a failure.
  void CancelAttempt(Request& request);
  void Refuse(Request& request, Refusal refusal, TimePoint now);
  void Finish(Request& request, const char* outcome, TimePoint now);
  // Adds a span of this frontend to the client's trace.
  void ContinueTrace(Request& request);
  std::string ChooseService(const ServingRoute& route);

  Options options_;
  BackendDirectory& backends_;
  RateAdmission& rates_;
  PromptQuarantine& quarantine_;
  PromptTrials& trials_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  ResponseCallback send_response_;
  PaceProber prober_{backends_, calls_, clock_};
  std::mt19937_64 random_;
  ReturningClients returning_clients_;
  std::map<ClientCallId, Request> requests_;
  size_t buffered_bytes_ = 0;  // of the bodies of all requests
  // No slots are reserved before then, because a backend server did not support
  // reservations.
  TimePoint reservations_paused_until_{};
  Counters counters_;
};

}  // namespace carawayrelay
