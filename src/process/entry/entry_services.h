#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/batch/batch_thread.h"
#include "process/entry/admin_api.h"
#include "process/entry/entry_process.h"
#include "process/entry/entry_settings.h"
#include "process/limits/limits_thread.h"
#include "process/store/config_watch.h"
#include "process/store/intent_thread.h"
#include "process/telemetry/metrics.h"
#include "process/telemetry/telemetry_thread.h"

namespace carawayrelay {

// The services of an entry that use the store: configuration, batch jobs,
// idempotency keys and rate limits over all entries. They attach to
// EntryProcess through its hooks, which must exist before its threads start.
// Before Start() the hooks refuse requests, intents and link events and ignore
// the rest.
class EntryServices {
 public:
  explicit EntryServices(const EntrySettings& settings);
  ~EntryServices();

  EntryProcess::Hooks MakeHooks();
  // Starts the threads. `process` must stay valid until Stop() has returned.
  // Fails with kInvalid for a malformed store address (`platform_url`).
  Result<void> Start(EntryProcess& process);
  // Releases leases and joins the threads. Call it while the HTTP servers and
  // the link thread of the process still run.
  void Stop();

 private:
  bool HandleClientApi(HttpRequest& request, HttpExchangePtr& exchange);
  void HandleAdmin(const HttpRequest& request, const HttpExchangePtr& exchange);
  void Observe(const RequestObserved& observed);
  void OnConfigEvent(ConfigEvent event);
  void UpdateNodes(const std::vector<VmInfo>& vms);
  ConfigPtr config() const;

  const EntrySettings settings_;
  EntryProcess* process_ = nullptr;
  // Guards config_ and the thread pointers below: the hooks read them on
  // threads that run before Start() sets them and after Stop() clears them.
  mutable std::mutex mutex_;
  ConfigPtr config_;
  std::shared_ptr<ConfigWatch> watch_;
  std::shared_ptr<AdminApi> admin_;
  std::shared_ptr<BatchThread> batch_;
  std::shared_ptr<LimitsThread> limits_;
  std::shared_ptr<IntentThread> intents_;
  std::shared_ptr<TelemetryThread> telemetry_;
  const std::shared_ptr<RequestMemoryBudget> request_memory_;
  Metrics metrics_;
};

}  // namespace carawayrelay
