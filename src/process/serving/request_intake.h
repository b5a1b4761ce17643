#pragma once

#include <mutex>

#include "process/serving/serving_event.h"
#include "process/transport/http_server.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// Hands the requests of clients from the thread of the HTTP server to the event
// loop thread, until the event loop ends. Each request that was read gets a
// response, also at the end: those that no thread would handle any more are
// refused as not run.
class RequestIntake {
 public:
  // `events` must outlive this object.
  explicit RequestIntake(Ring<ServingEvent>& events) : events_(events) {}

  // Passes the request to the event loop. Refuses it when the ring is full or
  // after Close(). Thread of the HTTP server; never waits.
  void Accept(HttpRequest request, HttpExchangePtr exchange);
  // Refuses the requests that wait in the ring and all later ones. Event loop
  // thread, which must not take events afterwards.
  void Close();

 private:
  Ring<ServingEvent>& events_;
  std::mutex mutex_;
  bool is_closed_ = false;
};

}  // namespace carawayrelay
