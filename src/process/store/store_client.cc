#include "process/store/store_client.h"

#include <memory>
#include <utility>

#include "platform/store_codec.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

const char* KindOf(const StoreRequest& request) {
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

void StoreClient::Send(StoreRequest request, StoreDone done) {
  struct Progress {
    StoreRequest request;
    StoreDone done;
    TimePoint started{};
    int status = 0;
    std::string body;
  };
  OutboundCall call = platform::EncodeStoreRequest(request);
  call.address = address_;
  auto progress =
      std::make_shared<Progress>(Progress{.request = std::move(request),
                                          .done = std::move(done),
                                          .started = clock_.now()});
  calls_.Start(std::move(call), [this, progress](CallEvent& event) {
    std::visit(Overloaded{
                   [&](CallHead& head) { progress->status = head.status; },
                   [&](CallData& data) { progress->body += data.bytes; },
                   [&](CallEnd& end) {
                     Finish(progress->request, progress->status,
                            std::move(progress->body), end, progress->started,
                            progress->done);
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
                         const StoreDone& done) {
  StoreReply reply;
  if (end.is_complete) {
    reply = platform::DecodeStoreReply(request, status, std::move(body));
  } else {
    reply.status = end.was_sent ? StoreStatus::kUnknown : StoreStatus::kRefused;
    reply.reason = end.reason;
  }
  NoteContact(reply);
  if (observe_) {
    observe_(KindOf(request), reply.status, clock_.now() - started);
  }
  done(std::move(reply));
}

void StoreClient::NoteContact(const StoreReply& reply) {
  const TimePoint now = clock_.now();
  if (reply.store_time.count() > 0) {
    store_time_ = reply.store_time;
    store_time_at_ = now;
  }
  const bool failed = reply.status == StoreStatus::kRefused ||
                      reply.status == StoreStatus::kUnknown;
  if (failed && !is_away_) {
    is_away_ = true;
    away_since_ = now;
    LogDecision(LogEvent::kStoreLost, "status", ToString(reply.status),
                "reason", reply.reason);
  } else if (!failed && is_away_) {
    is_away_ = false;
    LogDecision(LogEvent::kStoreRegained, "away_ms",
                ToMilliseconds(now - away_since_));
  }
}

std::chrono::milliseconds StoreClient::StoreTime(TimePoint now) const {
  if (store_time_.count() == 0) {
    return store_time_;
  }
  return store_time_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - store_time_at_);
}

}  // namespace carawayrelay
