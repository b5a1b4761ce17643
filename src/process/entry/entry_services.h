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

// The duties of an entry that need the platform: configuration, batch jobs and
// rate limits over all entries. They plug into EntryProcess through its hooks,
// which exist before the threads do; until Start() the hooks refuse.
class EntryServices {
 public:
  explicit EntryServices(const EntrySettings& settings);
  ~EntryServices();

  EntryProcess::Hooks MakeHooks();
  // Starts the threads. `process` must outlive Stop(). Fails with kInvalid for
  // a malformed platform address.
  Result<void> Start(EntryProcess& process);
  // Hands leases back and joins the threads. Call it while the HTTP servers
  // and the link thread of the process still run.
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
  // Guards the members below against the hooks of threads that start earlier.
  mutable std::mutex mutex_;
  ConfigPtr config_;
  std::shared_ptr<ConfigWatch> watch_;
  std::shared_ptr<AdminApi> admin_;
  std::shared_ptr<BatchThread> batch_;
  std::shared_ptr<LimitsThread> limits_;
  std::shared_ptr<IntentThread> intents_;
  std::shared_ptr<TelemetryThread> telemetry_;
  Metrics metrics_;
};

}  // namespace carawayrelay
