#include "process/entry/entry_services.h"

#include <algorithm>
#include <utility>

#include "process/dispatch/chat_api.h"
#include "process/dispatch/refusal_json.h"
#include "process/serving/serving_metrics.h"
#include "process/store/blocking_store_client.h"
#include "process/store/intent_thread.h"
#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

constexpr const char* kMetricsContentType = "text/plain; version=0.0.4";

// Copies the pointer under the lock, so that the object lives until its user is
// done, even if Stop() clears the member before.
template <class T>
std::shared_ptr<T> CopyUnderLock(std::mutex& mutex,
                                 const std::shared_ptr<T>& pointer) {
  std::lock_guard lock(mutex);
  return pointer;
}

}  // namespace

EntryServices::EntryServices(const EntrySettings& settings)
    : settings_(settings),
      request_memory_(
          RequestMemoryBudget::Make(settings.memory.request_bytes)) {}

EntryServices::~EntryServices() {
  Stop();
}

EntryProcess::Hooks EntryServices::MakeHooks() {
  EntryProcess::Hooks hooks;
  hooks.request_memory = request_memory_;
  hooks.dispatch.propose_config = [this](ConfigUpdate update) {
    if (const auto watch = CopyUnderLock(mutex_, watch_)) {
      watch->TryAdoptFromPeer(update.version, std::move(update.content_hash),
                              std::move(update.document));
    }
  };
  hooks.dispatch.perform_intent = [this](DispatchThread::IntentAction action) {
    const auto intents = CopyUnderLock(mutex_, intents_);
    return intents && intents->TryPush(std::move(action));
  };
  hooks.dispatch.config_adopted = [this](const ConfigPtr& config) {
    {
      std::lock_guard lock(mutex_);
      config_ = config;
    }
    if (const auto batch = CopyUnderLock(mutex_, batch_)) {
      batch->SetConfig(config);
    }
  };
  hooks.dispatch.report_acknowledged_fences =
      [this](const std::vector<AcknowledgedNodes>& shards) {
        if (const auto limits = CopyUnderLock(mutex_, limits_)) {
          for (const AcknowledgedNodes& shard : shards) {
            limits->TryPush(shard);
          }
        }
      };
  hooks.dispatch.request_finished = [this](const RequestObserved& observed) {
    Observe(observed);
  };
  hooks.client_api = [this](HttpRequest& request, HttpExchangePtr& exchange) {
    return HandleClientApi(request, exchange);
  };
  hooks.admin_api = [this](const HttpRequest& request,
                           const HttpExchangePtr& exchange) {
    HandleAdmin(request, exchange);
  };
  hooks.batch_links = [this](LinkEvent& event) {
    const auto batch = CopyUnderLock(mutex_, batch_);
    return batch && batch->DeliverLink(event);
  };
  return hooks;
}

Result<void> EntryServices::Start(EntryProcess& process) {
  process_ = &process;
  const BlockingStoreClient::Options store_client_options{
      .base_url = settings_.platform_url};
  BOOST_OUTCOME_TRY(
      auto batch,
      BatchThread::Make(
          {.node = settings_.node, .store_client = store_client_options},
          [this](ConnectionId connection, Message message) {
            process_->link().Send(connection, std::move(message));
          },
          [this] { process_->link().ResumeReading(); }));
  BOOST_OUTCOME_TRY(auto limits_client,
                    BlockingStoreClient::Make(store_client_options));
  auto limits = std::make_shared<LimitsThread>(
      LimitsThread::Options{.node = settings_.node}, std::move(limits_client),
      [this](LimitLeaseEvent event) { process_->Post(std::move(event)); });
  BOOST_OUTCOME_TRY(auto intents_client,
                    BlockingStoreClient::Make(store_client_options));
  auto intents = std::make_shared<IntentThread>(
      std::move(intents_client),
      [this](DispatchEvent event) { process_->Post(std::move(event)); });
  {
    std::lock_guard lock(mutex_);
    intents_ = std::move(intents);
    batch_ = std::move(batch);
    limits_ = std::move(limits);
  }
  BOOST_OUTCOME_TRY(
      auto watch,
      ConfigWatch::Make(
          {.store_client = {.base_url = settings_.platform_url,
                            .request_timeout =
                                std::chrono::milliseconds(1000)}},
          [this](ConfigEvent event) { OnConfigEvent(std::move(event)); }));
  BOOST_OUTCOME_TRY(
      auto telemetry,
      TelemetryThread::Make({.resource = {.service_name = "carawayrelay-entry",
                                          .instance_id = settings_.node,
                                          .zone = settings_.zone},
                             .endpoint = settings_.traces_url}));
  std::lock_guard lock(mutex_);
  telemetry_ = std::move(telemetry);
  watch_ = std::move(watch);
  admin_ = std::make_shared<AdminApi>(
      *watch_,
      AdminApi::Options{.node = settings_.node, .zone = settings_.zone});
  return Success();
}

void EntryServices::Stop() {
  std::shared_ptr<ConfigWatch> watch;
  std::shared_ptr<AdminApi> admin;
  std::shared_ptr<BatchThread> batch;
  std::shared_ptr<LimitsThread> limits;
  std::shared_ptr<IntentThread> intents;
  std::shared_ptr<TelemetryThread> telemetry;
  {
    std::lock_guard lock(mutex_);
    watch = std::exchange(watch_, nullptr);
    admin = std::exchange(admin_, nullptr);
    batch = std::exchange(batch_, nullptr);
    limits = std::exchange(limits_, nullptr);
    intents = std::exchange(intents_, nullptr);
    telemetry = std::exchange(telemetry_, nullptr);
  }
  if (watch) {
    watch->Stop();
  }
  if (intents) {
    intents->Stop();
  }
  if (batch) {
    batch->Stop();
  }
  if (limits) {
    limits->Stop();
  }
}

void EntryServices::Observe(const RequestObserved& observed) {
  metrics_.Observe(observed);
  const auto telemetry = CopyUnderLock(mutex_, telemetry_);
  if (auto span = ToSpan(observed); span && telemetry) {
    telemetry->TryPush(*std::move(span));
  }
}

ConfigPtr EntryServices::config() const {
  std::lock_guard lock(mutex_);
  return config_;
}

bool EntryServices::HandleClientApi(HttpRequest& request,
                                    HttpExchangePtr& exchange) {
  if (request.method == "GET" && request.path == "/metrics") {
    SetRequestMemoryMetrics(metrics_, request_memory_->counters());
    exchange->Respond(200, {{"Content-Type", kMetricsContentType}},
                      metrics_.ToPrometheusText());
    return true;
  }
  if (!BatchApi::IsBatchPath(request.path)) {
    return false;
  }
  const ConfigPtr config = this->config();
  const auto batch = CopyUnderLock(mutex_, batch_);
  if (!config || !batch) {
    SendRefusal(*exchange, {.code = RefusalCode::kNotReady,
                            .reason = "this entry is not ready for jobs",
                            .retry_after = std::chrono::seconds(1)});
    return true;
  }
  const KeyConfig* key = config->Authenticate(BearerToken(request));
  if (key == nullptr) {
    SendRefusal(*exchange, {.code = RefusalCode::kUnauthorized,
                            .reason = "missing, unknown or withdrawn key"});
    return true;
  }
  BatchHttpRequest batch_request{.request = std::move(request),
                                 .workspace = key->workspace,
                                 .config = config,
                                 .exchange = std::move(exchange)};
  if (!batch->TryEnqueue(batch_request)) {
    SendRefusal(*batch_request.exchange,
                {.code = RefusalCode::kOverloaded,
                 .reason = "too many requests for jobs wait in this entry",
                 .retry_after = std::chrono::seconds(1)});
  }
  return true;
}

void EntryServices::HandleAdmin(const HttpRequest& request,
                                const HttpExchangePtr& exchange) {
  if (const auto admin = CopyUnderLock(mutex_, admin_)) {
    admin->Handle(request, exchange);
  } else {
    SendRefusal(*exchange, {.code = RefusalCode::kNotReady,
                            .reason = "this entry starts or stops",
                            .retry_after = std::chrono::seconds(1)});
  }
}

void EntryServices::OnConfigEvent(ConfigEvent event) {
  std::visit(
      Overloaded{
          [&](ConfigAdopted& e) { process_->AdoptConfig(std::move(e.config)); },
          [&](VmsChanged& e) { UpdateNodes(e.vms); },
      },
      event);
}

void EntryServices::UpdateNodes(const std::vector<VmInfo>& vms) {
  std::vector<std::string> agents;
  std::vector<std::string> peers;
  EntryNodes nodes;
  for (const VmInfo& vm : vms) {
    if (vm.role == "agent") {
      agents.push_back(vm.address);
    } else if (vm.node != settings_.node) {
      peers.push_back(vm.address);
    }
    if (vm.role == "entry") {
      nodes.listed.push_back(vm.node);
      if (!vm.leaving) {
        nodes.live.push_back(vm.node);
      }
    }
  }
  process_->SetNodes(agents, peers);
  if (const auto limits = CopyUnderLock(mutex_, limits_)) {
    limits->TryPush(nodes);
  }
}

}  // namespace carawayrelay
