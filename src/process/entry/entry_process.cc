#include "process/entry/entry_process.h"

#include <map>
#include <set>
#include <thread>
#include <utility>

#include "process/dispatch/refusal_json.h"
#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

// Time to write the last responses; HttpServer::Stop() discards the rest.
constexpr std::chrono::milliseconds kFlushTime{200};
constexpr size_t kMaxAdminConnections = 64;

ConnectionId ConnectionOf(const LinkEvent& event) {
  return std::visit([](const auto& e) { return e.connection; }, event);
}

// Moves the event into the ring. Returns false, with `event` untouched, when
// the ring is full.
bool PushToDispatch(DispatchThread& dispatch, LinkEvent& event) {
  return std::visit(
      [&](auto& e) {
        DispatchInput input{.event = std::move(e)};
        if (dispatch.TryPush(input)) {
          return true;
        }
        e = std::get<std::remove_reference_t<decltype(e)>>(
            std::move(input.event));
        return false;
      },
      event);
}

}  // namespace

Result<std::unique_ptr<EntryProcess>> EntryProcess::Make(EntrySettings settings,
                                                         Hooks hooks) {
  std::unique_ptr<EntryProcess> process(
      new EntryProcess(std::move(settings), std::move(hooks)));
  BOOST_OUTCOME_TRY(process->Start());
  return process;
}

EntryProcess::EntryProcess(EntrySettings settings, Hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      dispatch_(settings_.dispatcher, hooks_.dispatch),
      chat_(
          [this](DispatchEvent event, const HttpExchangePtr& exchange) {
            DispatchInput input{.event = std::move(event),
                                .exchange = exchange};
            return dispatch_.TryPush(input);
          },
          dispatch_.is_ready()) {}

EntryProcess::~EntryProcess() {
  Stop();
}

Result<void> EntryProcess::Start() {
  const Hello hello{
      .node = settings_.node, .role = Role::kEntry, .zone = settings_.zone};
  BOOST_OUTCOME_TRY(
      link_, LinkThread::Make(
                 {.listen_address = settings_.listen_links, .hello = hello},
                 MakeDeliver()));
  dispatch_.Start(*link_);
  SetNodes({}, {});
  const auto request_memory =
      hooks_.request_memory
          ? hooks_.request_memory
          : RequestMemoryBudget::Make(settings_.memory.request_bytes);
  if (hooks_.admin_api) {
    BOOST_OUTCOME_TRY(
        admin_server_,
        HttpServer::Make({.listen_address = settings_.listen_admin,
                          .limits = {.body_bytes = settings_.max_body_bytes},
                          .max_connections = kMaxAdminConnections,
                          .request_memory = request_memory},
                         hooks_.admin_api));
  }
  BOOST_OUTCOME_TRY(
      client_server_,
      HttpServer::Make({.listen_address = settings_.listen_callers,
                        .limits = {.body_bytes = settings_.max_body_bytes},
                        .max_connections = MaxConnections(settings_.memory),
                        .max_response_bytes = settings_.memory.response_bytes,
                        .request_memory = request_memory},
                       [this](HttpRequest request, HttpExchangePtr exchange) {
                         HandleClientRequest(std::move(request),
                                             std::move(exchange));
                       }));
  LogInfo(LogEvent::kEntryStarted,
          "entry in zone {} accepts client requests on {}", settings_.zone,
          settings_.listen_callers);
  return Success();
}

// The returned function holds the class of each open connection. It needs no
// lock, because only the link thread calls it.
LinkThread::Deliver EntryProcess::MakeDeliver() {
  return [this, classes = std::map<ConnectionId, LinkClass>()](
             LinkEvent& event) mutable {
    const ConnectionId connection = ConnectionOf(event);
    if (const auto* up = std::get_if<LinkUp>(&event)) {
      classes[connection] = up->peer.link_class;
    }
    const bool is_down = std::holds_alternative<LinkDown>(event);
    bool delivered = true;
    switch (classes.at(connection)) {
      case LinkClass::kOnline:
        delivered = PushToDispatch(dispatch_, event);
        break;
      case LinkClass::kBatch:
        delivered = !hooks_.batch_links || hooks_.batch_links(event);
        break;
      case LinkClass::kPeer:
        delivered = PushToDispatch(dispatch_, event);
        break;
    }
    if (delivered && is_down) {
      classes.erase(connection);
    }
    return delivered;
  };
}

void EntryProcess::HandleClientRequest(HttpRequest request,
                                       HttpExchangePtr exchange) {
  if (chat_.Handle(request, exchange) ||
      (hooks_.client_api && hooks_.client_api(request, exchange))) {
    return;
  }
  SendRefusal(*exchange, {.code = RefusalCode::kNotFound,
                          .reason = "no such path or method"});
}

void EntryProcess::AdoptConfig(ConfigPtr config) {
  dispatch_.Push(ConfigAdopted{std::move(config)});
}

void EntryProcess::SetNodes(const std::vector<std::string>& agents,
                            const std::vector<std::string>& peers) {
  std::set<DialTarget> targets;
  const auto add = [&](const std::vector<std::string>& addresses,
                       LinkClass link_class) {
    for (const std::string& address : addresses) {
      targets.insert({.address = address, .link_class = link_class});
    }
  };
  for (const auto& addresses : {settings_.seed_agents, agents}) {
    add(addresses, LinkClass::kOnline);
    if (hooks_.batch_links) {
      add(addresses, LinkClass::kBatch);
    }
  }
  if (settings_.dispatcher.shared_limits) {
    add(settings_.seed_peers, LinkClass::kPeer);
    add(peers, LinkClass::kPeer);
  }
  link_->SetDialTargets({targets.begin(), targets.end()});
}

void EntryProcess::Drain() {
  LogInfo(LogEvent::kEntryStopping,
          "graceful shutdown: waiting for requests in progress");
  dispatch_.Push(StopRequested{});
  dispatch_.WaitDrained();
  if (hooks_.stop_services) {
    hooks_.stop_services();
  }
  std::this_thread::sleep_for(kFlushTime);
  Stop();
  LogInfo(LogEvent::kEntryStopped, "entry stopped");
}

void EntryProcess::Stop() {
  // Stopped first, because it holds exchanges that need a running HTTP server.
  dispatch_.Stop();
  if (client_server_) {
    client_server_->Stop();
  }
  if (admin_server_) {
    admin_server_->Stop();
  }
  if (link_) {
    link_->Stop();
  }
}

}  // namespace carawayrelay
