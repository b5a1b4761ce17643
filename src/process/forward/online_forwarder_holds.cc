#include <memory>

#include "platform/runner_codec.h"
#include "process/forward/online_forwarder.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// Backend servers are not asked for slots for this long after one did not know
// the call.
constexpr std::chrono::seconds kHoldsPause{10};

}  // namespace

void OnlineForwarder::AskHold(Request& request,
                              const RunnerDirectory::Runner& runner,
                              TimePoint now) {
  struct Progress {
    int status = 0;
    std::string body;
  };
  const auto progress = std::make_shared<Progress>();
  const ClientId client = request.call.client;
  request.is_holding = true;
  request.runner = runner.entry.id;
  request.heard_at = now;
  request.out = calls_.Start(
      platform::EncodeHoldCall(runner.entry.address, request.call.tokens,
                               options_.hold_time),
      [this, client, progress, id = runner.entry.id](CallEvent& event) {
        std::visit(Overloaded{
                       [&](CallHead& head) { progress->status = head.status; },
                       [&](CallData& data) { progress->body += data.bytes; },
                       [&](CallEnd& end) {
                         OnHoldAnswer(client, id, progress->status,
                                      progress->body, end.is_whole);
                       },
                   },
                   event);
      });
}

void OnlineForwarder::OnHoldAnswer(ClientId client,
                                   const std::string& runner,
                                   int status,
                                   const std::string& body,
                                   bool is_whole) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  Request& request = it->second;
  request.is_holding = false;
  const TimePoint now = clock_.now();
  RunnerDirectory::Runner* found = runners_.Find(runner);
  const platform::HoldAnswer answer = platform::DecodeHoldAnswer(status, body);
  if (is_whole && answer.outcome == platform::HoldOutcome::kHeld &&
      found != nullptr && runners_.IsUsable(*found)) {
    request.hold = answer.hold;
    ++counters_.held;
    SendTo(request, *found, now);
    return;
  }
  if (is_whole && answer.outcome == platform::HoldOutcome::kNotOffered) {
    holds_from_ = now + kHoldsPause;
  }
  if (found != nullptr) {
    if (is_whole) {
      runners_.NoteFull(*found, now);
    } else {
      runners_.NoteFailure(*found, "no answer about a slot", now);
    }
  }
  request.full.insert(runner);
  Send(request, now);
}

}  // namespace carawayrelay
