#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// Returns a piece of a stream of events without the event that marks the end;
// it is added when the answer is known to be whole.
std::string WithoutDoneEvent(std::string data);

// Performs the dispatcher's replies on the HTTP exchanges of the callers. Owned
// by the dispatch thread.
class ClientResponses {
 public:
  void Add(RequestId request, HttpExchangePtr exchange);
  // Closes the connections of all callers.
  void Clear() { clients_.clear(); }
  bool empty() const { return clients_.empty(); }

  void Perform(SendResponse action);
  void Perform(const SendModels& action);
  // Returns false when the caller is gone; the dispatcher must be told.
  bool Perform(ForwardPart action);
  void Perform(const FinishStream& action);
  void Perform(const AbortStream& action);
  void Perform(const Refuse& action);

  // Callers whose connection broke since the last call. They are forgotten.
  std::vector<RequestId> TakeDisconnected();

 private:
  struct Client {
    HttpExchangePtr exchange;
    bool is_streaming = false;
  };

  HttpExchangePtr Take(RequestId request);
  static void StartStream(Client& client);

  std::unordered_map<RequestId, Client> clients_;
};

}  // namespace carawayrelay
