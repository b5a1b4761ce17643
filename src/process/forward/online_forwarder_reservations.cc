#include <memory>

#include "platform/backend_codec.h"
#include "process/forward/online_forwarder.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

// How long no slots are reserved after a backend server did not support the
// reservation call.
constexpr std::chrono::seconds kReservationPause{10};

}  // namespace

void OnlineForwarder::RequestReservation(
    Request& request,
    const BackendDirectory::Backend& backend,
    TimePoint now) {
  struct Progress {
    int status = 0;
    bool is_leaving = false;
    std::string body;
  };
  const auto progress = std::make_shared<Progress>();
  const ClientCallId client = request.call.client;
  request.is_reserving = true;
  request.backend_id = backend.registration.id;
  request.last_progress_at = now;
  request.outbound_id = calls_.Start(
      platform::EncodeReservationCall(backend.registration.address,
                                      request.call.tokens,
                                      options_.reservation_time),
      [this, client, progress, id = backend.registration.id](CallEvent& event) {
        std::visit(Overloaded{
                       [&](CallHead& head) {
                         progress->status = head.status;
                         progress->is_leaving =
                             platform::AnnouncesLeaving(head.headers);
                       },
                       [&](CallData& data) { progress->body += data.bytes; },
                       [&](CallEnd& end) {
                         if (progress->is_leaving) {
                           backends_.NoteLeaving(id, clock_.now());
                         }
                         OnReservationResponse(client, id, progress->status,
                                               progress->body, end.is_complete);
                       },
                   },
                   event);
      });
}

void OnlineForwarder::OnReservationResponse(ClientCallId client,
                                            const std::string& backend_id,
                                            int status,
                                            const std::string& body,
                                            bool is_complete) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  Request& request = it->second;
  request.is_reserving = false;
  const TimePoint now = clock_.now();
  if (!IsAdmitted(request, now)) {
    return;
  }
  BackendDirectory::Backend* found = backends_.Find(backend_id);
  const platform::ReservationResponse response =
      platform::DecodeReservationResponse(status, body);
  if (is_complete &&
      response.outcome == platform::ReservationOutcome::kReserved &&
      found != nullptr && backends_.IsUsable(*found)) {
    request.reservation_id = response.reservation_id;
    ++counters_.with_reservation;
    SendTo(request, *found, now);
    return;
  }
  if (is_complete &&
      response.outcome == platform::ReservationOutcome::kNotSupported) {
    reservations_paused_until_ = now + kReservationPause;
  }
  if (found != nullptr) {
    if (is_complete) {
      backends_.NoteFull(*found, now);
    } else {
      backends_.NoteFailure(
          *found, "the reservation call got no complete response", now);
    }
  }
  request.full_backends.insert(backend_id);
  ChooseAndSend(request, now);
}

}  // namespace carawayrelay
