#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// Removes the `[DONE]` event from a part of an event stream. The event is sent
// once the response is known to be complete.
std::string WithoutDoneEvent(std::string data);

// Sends the responses of the dispatcher on the HTTP exchanges of the clients.
// Owned by the dispatch thread.
class ClientResponses {
 public:
  // Stores the exchange on which the response to the request is sent.
  void Add(RequestId request, HttpExchangePtr exchange);
  // Closes the connections of all clients.
  void Clear() { clients_.clear(); }
  bool empty() const { return clients_.empty(); }

  void Perform(SendResponse action);
  void Perform(const SendModels& action);
  // Returns false when the client has disconnected; the caller must then pass
  // ClientDisconnected to the dispatcher.
  bool Perform(ForwardPart action);
  void Perform(const FinishStream& action);
  void Perform(const AbortStream& action);
  void Perform(const Refuse& action);

  // Removes the exchanges whose client has disconnected and returns their
  // requests.
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
