#include "process/store/store_client.h"

#include <memory>
#include <utility>

#include "platform/store_codec.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

const char* RequestKind(const StoreRequest& request) {
  return std::visit(Overloaded{
                        [](const RowsTransaction&) { return "transaction"; },
                        [](const RowsRead&) { return "rows_read"; },
                        [](const RowsWatch&) { return "rows_watch"; },
                        [](const ObjectWrite&) { return "object_write"; },
                        [](const ObjectRead&) { return "object_read"; },
                    },
                    request);
}

}  // namespace

void StoreClient::Send(StoreRequest request, StoreCallback callback) {
  struct Progress {
    StoreRequest request;
    StoreCallback callback;
    TimePoint started{};
    int status = 0;
    std::string body;
  };
  OutboundCall call = platform::EncodeStoreRequest(request);
  call.address = address_;
  auto progress =
      std::make_shared<Progress>(Progress{.request = std::move(request),
                                          .callback = std::move(callback),
                                          .started = clock_.now()});
  calls_.Start(std::move(call), [this, progress](CallEvent& event) {
    std::visit(Overloaded{
                   [&](CallHead& head) { progress->status = head.status; },
                   [&](CallData& data) { progress->body += data.bytes; },
                   [&](CallEnd& end) {
                     Finish(progress->request, progress->status,
                            std::move(progress->body), end, progress->started,
                            progress->callback);
                   },
               },
               event);
  });
}

void StoreClient::Finish(const StoreRequest& request,
                         int status,
                         std::string body,
                         const CallEnd& end,
                         TimePoint started,
                         const StoreCallback& callback) {
  StoreResponse response;
  if (end.is_complete) {
    response = platform::DecodeStoreResponse(request, status, std::move(body));
  } else {
    response.status =
        end.was_sent ? StoreStatus::kUnknown : StoreStatus::kRefused;
    response.reason = end.reason;
  }
  UpdateAvailability(response);
  if (observer_) {
    observer_(RequestKind(request), response.status, clock_.now() - started);
  }
  callback(std::move(response));
}

void StoreClient::UpdateAvailability(const StoreResponse& response) {
  const TimePoint now = clock_.now();
  if (response.store_time.count() > 0) {
    store_time_ = response.store_time;
    store_time_received_at_ = now;
  }
  // A rejected request says nothing about the availability of the store.
  const bool failed = response.status == StoreStatus::kRefused ||
                      response.status == StoreStatus::kUnknown;
  if (failed && !is_unavailable_) {
    is_unavailable_ = true;
    unavailable_since_ = now;
    LogDecision(LogEvent::kStoreLost, "status", ToString(response.status),
                "reason", response.reason);
  } else if (!failed && is_unavailable_) {
    is_unavailable_ = false;
    LogDecision(LogEvent::kStoreRegained, "away_ms",
                ToMilliseconds(now - unavailable_since_));
  }
}

std::chrono::milliseconds StoreClient::StoreTime(TimePoint now) const {
  if (store_time_.count() == 0) {
    return store_time_;
  }
  return store_time_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - store_time_received_at_);
}

}  // namespace carawayrelay
