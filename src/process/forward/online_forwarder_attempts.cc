#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "platform/backend_codec.h"
#include "process/forward/online_forwarder.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"
#include "request/prompt_parts.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Shortest time after which a client may repeat a request in quarantine.
constexpr milliseconds kMinTrialRetryAfter{500};

}  // namespace

void OnlineForwarder::ProbeAndSend(Request& request, TimePoint now) {
  const ClientCallId client = request.call.client;
  const bool is_probing = prober_.Start(
      {.service = request.service, .zone = options_.zone},
      [this, client] {
        const auto it = requests_.find(client);
        if (it != requests_.end()) {
          ChooseAndSend(it->second, clock_.now());
        }
      },
      now);
  if (!is_probing) {
    ChooseAndSend(request, now);
  }
}

void OnlineForwarder::SendTo(Request& request,
                             BackendDirectory::Backend& chosen,
                             TimePoint now) {
  BackendDirectory::Backend* backend = &chosen;
  counters_.without_reservation += request.reservation_id.empty() ? 1 : 0;
  ++request.sends;
  request.tried_backends.insert(backend->registration.id);
  request.backend_id = backend->registration.id;
  request.status = 0;
  request.is_signed = false;
  request.is_forwarding = false;
  request.headers.clear();
  ClearBody(request);
  request.event_splitter.Reset();
  request.has_attempt_event = false;
  request.is_progress_noted = false;
  request.last_progress_at = now;
  request.is_silence_recorded = false;
  request.attempt_started_at = now;
  request.attempt_first_event.reset();
  request.attempt_longest_pause = Duration(0);
  request.attempt_events = 0;
  request.is_attempt_running = true;
  request.is_trial_sent = request.trial.has_value();
  backends_.NoteSent(*backend, now);
  const auto left =
      std::chrono::duration_cast<milliseconds>(request.deadline - now);
  const ClientCallId client = request.call.client;
  request.outbound_id = calls_.Start(
      platform::EncodeBackendCall({.call = request.call,
                                   .backend = backend->registration,
                                   .workspace = request.workspace,
                                   .time_left = std::max(left, milliseconds(1)),
                                   .resume_after = request.last_event,
                                   .reservation_id = request.reservation_id}),
      [this, client](CallEvent& event) { OnEvent(client, event); });
}

void OnlineForwarder::HandleDecline(Request& request,
                                    const std::string& reason,
                                    TimePoint now) {
  request.last_failure = reason;
  LogDecision(LogEvent::kAttemptDeclined, "id", request.call.request_id,
              "runner", request.backend_id, "reason", reason);
  ReportAttempt(request, AttemptResult::kDeclined, now);
  CancelAttempt(request);
  request.is_trial_sent = false;
  ChooseAndSend(request, now);
}

std::optional<std::string> OnlineForwarder::BreakReason(const Request& request,
                                                        const CallEnd& end) {
  if (!end.is_complete || request.status == 0) {
    return end.reason;
  }
  if (!request.is_forwarding) {
    return std::nullopt;
  }
  if (request.event_splitter.HasPartialEvent()) {
    return "stream ended inside an event";
  }
  if (request.ends_with_connection && !request.has_attempt_event) {
    return "connection closed before the first event";
  }
  return std::nullopt;
}

void OnlineForwarder::NoteWholeAnswer(const Request& request, TimePoint now) {
  if (request.ends_with_connection) {
    quarantine_.NoteUndelimitedAnswer(request.backend_id,
                                      request.call.prompt_parts, now);
  } else {
    quarantine_.NoteAnswer(request.call.prompt_parts, now);
  }
}

void OnlineForwarder::NoteBrokenAnswer(const Request& request,
                                       const CallEnd& end,
                                       TimePoint now) {
  if (!end.was_sent) {
    quarantine_.NoteUnreachable(request.backend_id, now);
  } else if (end.was_dropped || end.is_complete) {
    quarantine_.NoteCrash(
        request.backend_id,
        request.is_progress_noted ? PromptParts() : request.call.prompt_parts,
        now);
  }
}

bool OnlineForwarder::IsAdmitted(Request& request, TimePoint now) {
  if (request.trial && !request.is_trial_sent) {
    return true;
  }
  const ClientCallId client = request.call.client;
  const PromptParts& parts = request.call.prompt_parts;
  return std::visit(
      Overloaded{
          [](const PromptTrials::Admitted&) { return true; },
          [&](const PromptTrials::Refused& refusal) {
            RefuseQuarantined(request, refusal, now);
            return false;
          },
          [&](const PromptTrials::TrialDue&) {
            request.asking_since = now;
            trials_.Ask(parts,
                        [this, client](const PromptTrials::Answer& answer) {
                          OnTrialAnswer(client, answer);
                        });
            return false;
          },
      },
      trials_.Admit(parts, now));
}

void OnlineForwarder::OnTrialAnswer(ClientCallId client,
                                    const PromptTrials::Answer& answer) {
  const auto it = requests_.find(client);
  if (it != requests_.end()) {
    it->second.asking_since.reset();
  }
  std::visit(Overloaded{
                 [&](const PromptTrials::Admitted&) {
                   if (it != requests_.end()) {
                     ChooseAndSend(it->second, clock_.now());
                   }
                 },
                 [&](const TrialGrant& grant) {
                   if (it == requests_.end()) {
                     trials_.Return(grant);
                     return;
                   }
                   it->second.trial = grant;
                   it->second.is_trial_sent = false;
                   ChooseAndSend(it->second, clock_.now());
                 },
                 [&](const PromptTrials::Refused& refusal) {
                   if (it != requests_.end()) {
                     RefuseQuarantined(it->second, refusal, clock_.now());
                   }
                 },
             },
             answer);
}

void OnlineForwarder::RefuseQuarantined(Request& request,
                                        const PromptTrials::Refused& refusal,
                                        TimePoint now) {
  ++counters_.quarantined;
  Refuse(request,
         {.code = RefusalCode::kQuarantined,
          .run_state =
              request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
          .reason = "backend servers crash on prompt part " + refusal.part,
          .retry_after =
              std::max(std::chrono::ceil<milliseconds>(refusal.retry_at - now),
                       kMinTrialRetryAfter)},
         now);
}

void OnlineForwarder::NoteAttemptEvent(Request& request, TimePoint now) {
  ++request.attempt_events;
  request.has_attempt_event = true;
  if (request.attempt_first_event) {
    request.attempt_longest_pause =
        std::max(request.attempt_longest_pause, now - request.last_progress_at);
    const Duration since_first_event =
        now - request.attempt_started_at - *request.attempt_first_event;
    if (since_first_event >= PromptQuarantine::kLongAnswer &&
        !std::exchange(request.is_progress_noted, true)) {
      quarantine_.NoteProgress(request.call.prompt_parts, now);
    }
  } else {
    request.attempt_first_event = now - request.attempt_started_at;
  }
  request.last_progress_at = now;
  if (options_.observe_event) {
    options_.observe_event(OutcomeOf(request, AttemptResult::kAnswered, now),
                           now);
  }
}

AttemptOutcome OnlineForwarder::OutcomeOf(const Request& request,
                                          AttemptResult result,
                                          TimePoint now) {
  return {.backend_id = request.backend_id,
          .service = request.service,
          .route = request.route,
          .result = result,
          .is_repeatable = request.is_repeatable,
          .tokens = request.call.tokens,
          .events = request.attempt_events,
          .first_event = request.attempt_first_event,
          .longest_pause = request.attempt_longest_pause,
          .total = now - request.attempt_started_at};
}

void OnlineForwarder::ReportAttempt(const Request& request,
                                    AttemptResult result,
                                    TimePoint now) {
  if (!request.is_attempt_running || !options_.observe_attempt) {
    return;
  }
  options_.observe_attempt(OutcomeOf(request, result, now), now);
}

void OnlineForwarder::CancelAttempt(Request& request) {
  if (std::exchange(request.is_reserving, false)) {
    calls_.Cancel(request.outbound_id);
  }
  if (!std::exchange(request.is_attempt_running, false)) {
    return;
  }
  calls_.Cancel(request.outbound_id);
  ClearBody(request);
  if (BackendDirectory::Backend* backend = backends_.Find(request.backend_id)) {
    backend->own_calls = std::max(0, backend->own_calls - 1);
  }
}

void OnlineForwarder::FailAttempt(Request& request,
                                  bool was_sent,
                                  const std::string& reason,
                                  TimePoint now) {
  request.last_failure = reason;
  request.may_have_run |= was_sent;
  request.attempts += was_sent ? 1 : 0;
  request.is_trial_sent &= was_sent;
  bool is_cold = false;
  if (BackendDirectory::Backend* backend = backends_.Find(request.backend_id)) {
    is_cold = now < backend->cold_until;
    backends_.NoteFailure(*backend, reason, now);
  }
  ReportAttempt(request, AttemptResult::kFailed, now);
  CancelAttempt(request);
  const bool may_repeat =
      !request.may_have_run ||
      (request.is_repeatable && request.attempts < request.max_attempts);
  LogDecision(LogEvent::kAttemptFailed, "id", request.call.request_id, "runner",
              request.backend_id, "was_sent", was_sent, "attempt",
              request.attempts, "resends", may_repeat && now < request.deadline,
              "after_event", request.last_event, "got_event",
              request.has_attempt_event, "cold", is_cold, "prompt_parts",
              JoinIds(request.call.prompt_parts), "reason", reason);
  if (may_repeat && now < request.deadline) {
    ++counters_.resent;
    ChooseAndSend(request, now);
    return;
  }
  Refuse(request,
         {.code = RefusalCode::kBackendFailed,
          .run_state =
              request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
          .reason = reason},
         now);
}

}  // namespace carawayrelay
