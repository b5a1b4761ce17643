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

// The threads of the entry role and the rings between them.
class EntryProcess {
 public:
  // Duties that other modules add. Unset ones are left out.
  struct Hooks {
    DispatchThread::Hooks dispatch;
    // Another API for callers, such as batch jobs. Runs on the http thread and
    // returns false, with both arguments untouched, for paths of others.
    std::function<bool(HttpRequest&, HttpExchangePtr&)> client_api;
    // API for operators; runs on the thread of the admin port.
    HttpServer::Handler admin_api;
    // Events of batch connections, as in LinkThread::Deliver. Unset: such
    // connections are not dialled.
    LinkThread::Deliver batch_links;
    // Called after the last online request ended, while the threads still run.
    std::function<void()> stop_services;
  };

  // Binds the addresses and starts the threads. Fails with kInvalid or
  // kUnavailable.
  static Result<std::unique_ptr<EntryProcess>> Make(EntrySettings settings,
                                                    Hooks hooks);
  ~EntryProcess();

  // Hands a version over for use; it takes effect when it is higher. Any
  // thread but the dispatch thread.
  void AdoptConfig(ConfigPtr config);
  // Hands an event over, such as the answer to an intent. Any thread but the
  // dispatch thread.
  void Post(DispatchEvent event) { dispatch_.Push(std::move(event)); }
  // Replaces the known agents and entries; the seeds of the settings stay.
  void SetNodes(const std::vector<std::string>& agents,
                const std::vector<std::string>& peers);
  LinkThread& link() { return *link_; }
  bool IsReady() const { return dispatch_.is_ready(); }

  // Graceful shutdown: refuses new requests, waits for the others to finish
  // and stops the threads.
  void Drain();

 private:
  EntryProcess(EntrySettings settings, Hooks hooks);

  Result<void> Start();
  LinkThread::Deliver MakeDeliver();
  void HandleHttp(HttpRequest request, HttpExchangePtr exchange);
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
