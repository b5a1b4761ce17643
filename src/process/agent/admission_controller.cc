#include "process/agent/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "process/batch/submit_check.h"

namespace carawayrelay {
namespace {

Refusal MakeRefusal(RefusalCode code, RunState run_state, std::string reason) {
  return {.code = code, .run_state = run_state, .reason = std::move(reason)};
}

Refusal MakeNotRunRefusal(RefusalCode code, std::string reason) {
  return MakeRefusal(code, RunState::kNotRun, std::move(reason));
}

BackendCall MakeBackendCall(CallId id, Submit& submit) {
  return {.call = id,
          .method = std::move(submit.method),
          .path = std::move(submit.path),
          .body = std::move(submit.body),
          .stream = submit.stream,
          .traceparent = std::move(submit.traceparent),
          .idempotency_key = std::move(submit.idempotency_key),
          .chunk = std::move(submit.chunk)};
}

// True for changes that must be sent at once, because entries would otherwise
// submit requests that this agent refuses.
bool HasUrgentChange(const Status& a, const Status& b) {
  return a.leaving != b.leaving || a.zone_out != b.zone_out ||
         a.config_version != b.config_version;
}

bool IsEqual(const Status& a, const Status& b) {
  return !HasUrgentChange(a, b) && a.window == b.window &&
         a.running_online == b.running_online &&
         a.running_batch == b.running_batch && a.cold == b.cold;
}

}  // namespace

AdmissionController::AdmissionController(Options options, TimePoint now)
    : options_(std::move(options)),
      window_(options_.window),
      status_sent_at_(now) {}

std::vector<AdmissionAction> AdmissionController::Handle(AdmissionEvent event,
                                                         TimePoint now) {
  now_ = now;
  std::visit([this](auto& e) { this->On(e); }, event);
  // Skipped for parts, which are by far the most frequent events and neither
  // start nor end a call.
  if (!std::holds_alternative<BackendPart>(event)) {
    EnforceWindow();
    AbortAtDrainDeadline();
    SendLoadUpdates();
    if (drain_deadline_ && calls_.empty() && !is_drained_) {
      is_drained_ = true;
      actions_.emplace_back(Drained{});
    }
  }
  return std::exchange(actions_, {});
}

ConfigVersion AdmissionController::config_version() const {
  return config_ ? config_->version() : kNoConfig;
}

void AdmissionController::On(LinkUp& event) {
  if (event.peer.link_class == LinkClass::kPeer) {
    return;
  }
  peers_[event.connection] = {.link_class = event.peer.link_class};
  if (event.peer.link_class == LinkClass::kBatch) {
    batch_shares_.Add(event.connection, now_);
  }
  if (event.peer.config_version < config_version()) {
    SendConfig(event.connection);
  }
  Send(event.connection, MakeStatus());
}

void AdmissionController::On(LinkMessage& event) {
  if (!peers_.contains(event.connection)) {
    return;
  }
  std::visit(Overloaded{
                 [&](Submit& m) { OnSubmit(event.connection, m); },
                 [&](Cancel& m) { OnCancel(event.connection, m); },
                 [&](ConfigUpdate& m) { OnConfigUpdate(event.connection, m); },
                 [](auto&) {},
             },
             event.message);
}

void AdmissionController::On(LinkDown& event) {
  peers_.erase(event.connection);
  batch_shares_.Remove(event.connection);
  std::vector<AttemptId> orphaned;
  for (auto it = attempts_.lower_bound({event.connection, AttemptId{0}});
       it != attempts_.end() && it->first.first == event.connection; ++it) {
    orphaned.push_back(it->first.second);
  }
  for (const AttemptId attempt : orphaned) {
    OnCancel(event.connection, Cancel{attempt});
  }
}

void AdmissionController::OnSubmit(ConnectionId connection, Submit& submit) {
  const Peer& peer = peers_.at(connection);
  const bool is_batch = peer.link_class == LinkClass::kBatch;
  const AttemptKey key{connection, submit.attempt};
  if (is_batch) {
    batch_shares_.OnSubmit(connection, now_);
  }
  if (attempts_.contains(key) || ended_attempts_.Contains(key)) {
    // The run state is unknown, because the first Submit with this id may have
    // run and the entry cannot tell the two apart.
    Refuse(key, MakeRefusal(RefusalCode::kInvalidRequest, RunState::kUnknown,
                            "attempt id was used before"));
    return;
  }
  std::optional<Refusal> refusal =
      CheckSubmit(submit, {.link_class = peer.link_class,
                           .is_draining = drain_deadline_.has_value(),
                           .zone = options_.zone,
                           .routes = options_.routes,
                           .config = config_.get()});
  if (!refusal && is_batch &&
      !fences_.Accept(submit.chunk->job, submit.chunk->chunk,
                      submit.chunk->fence)) {
    refusal =
        MakeNotRunRefusal(RefusalCode::kFenced, "the chunk has a newer owner");
  }
  // Batch items never wait for a free slot. Online calls wait, but only while
  // the window is full.
  if (!refusal && is_batch && running() >= window_.size()) {
    refusal =
        MakeNotRunRefusal(RefusalCode::kWindowFull, "no room for batch items");
  }
  if (refusal) {
    if (refusal->code == RefusalCode::kStaleConfig) {
      SendConfig(connection);
    }
    Refuse(key, *std::move(refusal));
    return;
  }
  const CallId id{next_call_++};
  Call& call = calls_[id];
  call.key = key;
  call.is_batch = is_batch;
  call.is_stream = submit.stream;
  call.request = MakeBackendCall(id, submit);
  attempts_.emplace(key, id);
  if (is_batch) {
    Start(call);
  } else {
    waiting_.push_back(id);
  }
}

bool AdmissionController::IsZoneOut() const {
  return config_ && config_->IsZoneOut(options_.zone);
}

void AdmissionController::OnCancel(ConnectionId connection,
                                   const Cancel& cancel) {
  const auto attempt = attempts_.find({connection, cancel.attempt});
  if (attempt == attempts_.end()) {
    return;
  }
  const auto it = calls_.find(attempt->second);
  it->second.needs_response = false;
  if (it->second.state == CallState::kWaiting) {
    Erase(it);
  } else {
    CancelRunning(it->second);
  }
}

void AdmissionController::OnConfigUpdate(ConnectionId connection,
                                         ConfigUpdate& update) {
  if (update.version <= config_version()) {
    if (update.version < config_version()) {
      SendConfig(connection);
    }
    return;
  }
  Result<ConfigPtr> made =
      ConfigSnapshot::Make(update.version, std::move(update.document));
  if (!made) {
    actions_.emplace_back(
        ConfigRejected{update.version, std::move(made.error().message)});
    return;
  }
  if (made.value()->content_hash() != update.content_hash) {
    actions_.emplace_back(
        ConfigRejected{update.version, "content hash does not match"});
    return;
  }
  config_ = std::move(made).value();
  actions_.emplace_back(ConfigAdopted{config_});
  if (IsZoneOut()) {
    CancelAllBatch();
  }
}

void AdmissionController::On(BackendStarted& event) {
  const auto it = calls_.find(event.call);
  if (it != calls_.end()) {
    it->second.is_accepted = true;
  }
}

void AdmissionController::On(BackendPart& event) {
  const auto it = calls_.find(event.call);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  call.is_accepted = true;
  if (call.parts == 0 && call.is_stream) {
    window_.OnFirstToken(call.started, now_);
  }
  const std::uint64_t sequence = call.parts++;
  if (call.needs_response) {
    Send(call.key.first, Part{.attempt = call.key.second,
                              .sequence = sequence,
                              .data = std::move(event.data)});
  }
}

void AdmissionController::On(BackendEnd& event) {
  const auto it = calls_.find(event.call);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  if (!call.is_stream) {
    window_.OnResponse(call.started);
  }
  if (call.needs_response) {
    Send(call.key.first, End{.attempt = call.key.second,
                             .parts = call.parts,
                             .http_status = event.http_status,
                             .content_type = std::move(event.content_type),
                             .tokens = event.tokens});
  }
  Erase(it);
}

void AdmissionController::On(BackendFailed& event) {
  const auto it = calls_.find(event.call);
  if (it == calls_.end()) {
    return;
  }
  if (event.code == RefusalCode::kBackendFailed) {
    window_.OnFailure(now_);
  }
  RefuseOnce(it->second,
             MakeRefusal(event.code, event.run_state, std::move(event.reason)));
  Erase(it);
}

void AdmissionController::On(BackendCancelled& event) {
  const auto it = calls_.find(event.call);
  if (it == calls_.end()) {
    return;
  }
  RefuseOnce(it->second, MakeRefusal(RefusalCode::kCancelled, RunState::kRan,
                                     "the batch item made room"));
  Erase(it);
}

void AdmissionController::On(LoadReport& event) {
  if (!event.is_reachable) {
    window_.OnFailure(now_);
  }
}

void AdmissionController::On(StopRequested& event) {
  if (!drain_deadline_) {
    drain_deadline_ = now_ + options_.drain_limit;
    CancelAllBatch();
  }
}

void AdmissionController::EnforceWindow() {
  while (!waiting_.empty() && running() < window_.size()) {
    const CallId id = waiting_.front();
    waiting_.pop_front();
    Start(calls_.at(id));
  }
  // The calls that still wait need the slots of calls that are being cancelled.
  // Cancels more batch calls until there are enough such slots, then refuses
  // the newest waiting calls.
  while (waiting() > window_.size() - (running() - cancelling_)) {
    if (waiting_.empty()) {
      break;
    }
    if (!CancelYoungestBatch()) {
      const auto it = calls_.find(waiting_.back());
      RefuseOnce(it->second,
                 MakeNotRunRefusal(RefusalCode::kWindowFull,
                                   "the window is full of online requests"));
      Erase(it);
    }
  }
}

void AdmissionController::Start(Call& call) {
  assert(call.request && running() < window_.size());
  call.state = CallState::kRunning;
  call.started = now_;
  ++(call.is_batch ? running_batch_ : running_online_);
  actions_.emplace_back(StartCall{*std::move(call.request)});
  call.request.reset();
}

void AdmissionController::CancelRunning(Call& call) {
  if (call.state != CallState::kRunning) {
    return;
  }
  call.state = CallState::kCancelling;
  ++cancelling_;
  actions_.emplace_back(CancelCall{attempts_.at(call.key)});
}

bool AdmissionController::CancelYoungestBatch() {
  const auto youngest =
      std::find_if(calls_.rbegin(), calls_.rend(), [](const auto& entry) {
        return entry.second.is_batch &&
               entry.second.state == CallState::kRunning;
      });
  if (youngest == calls_.rend()) {
    return false;
  }
  CancelRunning(youngest->second);
  return true;
}

void AdmissionController::CancelAllBatch() {
  while (CancelYoungestBatch()) {
  }
}

void AdmissionController::AbortAtDrainDeadline() {
  if (!drain_deadline_ || now_ < *drain_deadline_) {
    return;
  }
  for (auto& [id, call] : calls_) {
    const RunState run_state = call.state == CallState::kWaiting
                                   ? RunState::kNotRun
                               : call.is_accepted ? RunState::kRan
                                                  : RunState::kUnknown;
    RefuseOnce(call, MakeRefusal(RefusalCode::kLeaving, run_state,
                                 "the agent's drain time limit passed"));
    CancelRunning(call);
  }
  // The process ends without waiting for the backend client to confirm the
  // cancellations.
  calls_.clear();
  attempts_.clear();
  waiting_.clear();
  running_online_ = running_batch_ = cancelling_ = 0;
}

void AdmissionController::Erase(Calls::iterator it) {
  const Call& call = it->second;
  if (call.state == CallState::kWaiting) {
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), it->first));
  } else {
    --(call.is_batch ? running_batch_ : running_online_);
    cancelling_ -= call.state == CallState::kCancelling ? 1 : 0;
    ended_attempts_.Insert(call.key);
  }
  attempts_.erase(call.key);
  calls_.erase(it);
}

void AdmissionController::RefuseOnce(Call& call, Refusal refusal) {
  if (std::exchange(call.needs_response, false)) {
    Refuse(call.key, std::move(refusal));
  }
}

void AdmissionController::Refuse(const AttemptKey& key, Refusal refusal) {
  Send(key.first,
       Refused{.attempt = key.second, .refusal = std::move(refusal)});
}

void AdmissionController::Send(ConnectionId connection, Message message) {
  actions_.emplace_back(SendMessage{connection, std::move(message)});
}

void AdmissionController::SendConfig(ConnectionId connection) {
  Send(connection, ConfigUpdate{.version = config_->version(),
                                .content_hash = config_->content_hash(),
                                .document = config_->json()});
}

void AdmissionController::SendLoadUpdates() {
  const Status status = MakeStatus();
  const Duration age = now_ - status_sent_at_;
  const bool is_due =
      HasUrgentChange(status, last_sent_status_) || age >= kStatusMaxInterval ||
      (age >= kStatusMinInterval && !IsEqual(status, last_sent_status_));
  if (is_due) {
    last_sent_status_ = status;
    status_sent_at_ = now_;
    for (const auto& [connection, peer] : peers_) {
      Send(connection, status);
    }
  }
  const bool accepts_batch = config_ && !drain_deadline_ && !IsZoneOut();
  const int free_slots =
      accepts_batch ? window_.size() - running() - waiting() : 0;
  for (const BatchCapacityShares::Offer& offer :
       batch_shares_.Rebalance(free_slots, now_)) {
    Send(offer.connection, BatchCapacity{.items = offer.items});
  }
}

Status AdmissionController::MakeStatus() const {
  return {.window = window_.size(),
          .running_online = running_online_ + waiting(),
          .running_batch = running_batch_,
          .leaving = drain_deadline_.has_value(),
          .cold = window_.IsCold(),
          .zone_out = IsZoneOut(),
          .config_version = config_version()};
}

}  // namespace carawayrelay
