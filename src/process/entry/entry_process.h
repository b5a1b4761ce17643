#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/dispatch/chat_api.h"
#include "process/dispatch/dispatch_thread.h"
#include "process/entry/entry_settings.h"
#include "process/transport/http_server.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Owns the threads of an entry that serve online requests, and the rings that
// join them: the HTTP servers, the dispatch thread and the link thread.
class EntryProcess {
 public:
  // Functions that other modules add. Unset ones are skipped.
  struct Hooks {
    DispatchThread::Hooks dispatch;
    // Handles requests of another client API, such as batch jobs. Runs on the
    // thread of the client port. Returns false, with both arguments untouched,
    // for a path that it does not handle.
    std::function<bool(HttpRequest&, HttpExchangePtr&)> client_api;
    // Handles operators' requests. Runs on the thread of the admin port. Unset:
    // the admin port is not opened.
    HttpServer::Handler admin_api;
    // Receives the events of batch connections, under the rules of
    // LinkThread::Deliver. Unset: no batch connections are opened.
    LinkThread::Deliver batch_links;
    // Called in Drain() after the last online request has ended, while all
    // threads still run.
    std::function<void()> stop_services;
    // Budget of the HTTP servers. Without one, the process makes its own.
    std::shared_ptr<RequestMemoryBudget> request_memory;
  };

  // Binds the addresses and starts the threads. Fails with kInvalid for a
  // malformed address and kUnavailable for one that cannot be bound.
  static Result<std::unique_ptr<EntryProcess>> Make(EntrySettings settings,
                                                    Hooks hooks);
  ~EntryProcess();

  // Passes a configuration version to the dispatcher, which ignores it unless
  // it is higher than the current one. May block while the ring is full; must
  // not be called on the dispatch thread.
  void AdoptConfig(ConfigPtr config);
  // Passes an event to the dispatcher, such as the result of an intent. May
  // block while the ring is full; must not be called on the dispatch thread.
  void Post(DispatchEvent event) { dispatch_.Push(std::move(event)); }
  // Replaces the addresses of the agents and of the other entries to connect
  // to. Those in the settings (seed_agents, seed_peers) are always included.
  void SetNodes(const std::vector<std::string>& agents,
                const std::vector<std::string>& peers);
  LinkThread& link() { return *link_; }
  bool IsReady() const { return dispatch_.is_ready(); }

  // Graceful shutdown: refuses new requests, waits until those in progress have
  // ended, and stops the threads. Blocks until all of this is done.
  void Drain();

 private:
  EntryProcess(EntrySettings settings, Hooks hooks);

  Result<void> Start();
  // Returns the function that the link thread passes its events to.
  LinkThread::Deliver MakeDeliver();
  void HandleClientRequest(HttpRequest request, HttpExchangePtr exchange);
  void Stop();

  EntrySettings settings_;
  Hooks hooks_;
  DispatchThread dispatch_;
  ChatApi chat_;
  std::unique_ptr<LinkThread> link_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> admin_server_;
};

}  // namespace carawayrelay
