#include "standins/platform_standin.h"

#include <utility>

#include "carawayrelay/version.h"
#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

constexpr std::chrono::milliseconds kWatchCheck{20};

std::string TargetOf(const HttpRequest& request) {
  return request.query.empty() ? request.path
                               : request.path + "?" + request.query;
}

}  // namespace

PlatformStandin::PlatformStandin(const Options& options,
                                 const EventLog& log,
                                 StandinServer& server)
    : log_(log),
      server_(server),
      faults_(options.limits),
      entries_lag_(options.entries_lag) {}

void PlatformStandin::Handle(HttpCall call) {
  if (call.request.path == "/control") {
    HandleControl(call);
    return;
  }
  if (call.request.path == "/v1/traces") {
    HandleTraces(call);
    return;
  }
  const AccessKind kind =
      call.request.method == "GET" ? AccessKind::kRead : AccessKind::kWrite;
  std::visit(
      Overloaded{
          [&](const Serve& serve) { ServeStore(std::move(call), serve); },
          [&](const DropRequest&) {
            log_.Write("request_dropped", {{"path", call.request.path}});
            call.exchange->Abort();
          },
          [&](const RefuseInOutage&) {
            ReplyJson(*call.exchange, 503, {{"error", "outage"}});
          },
          [&](const RefuseOverLimit&) {
            ReplyJson(*call.exchange, 429, {{"error", "over the limit"}},
                      {{"Retry-After", "1"}});
          },
      },
      faults_.Decide(kind, BootClock::now()));
}

void PlatformStandin::HandleControl(const HttpCall& call) {
  if (call.request.method == "POST") {
    const nlohmann::json control =
        nlohmann::json::parse(call.request.body, nullptr, false);
    if (!control.is_object()) {
      ReplyJson(*call.exchange, 400, {{"error", "not a JSON object"}});
      return;
    }
    faults_.Apply(control);
    const nlohmann::json tables =
        control.value("tables", nlohmann::json::object());
    for (const auto& [table, rows] : tables.items()) {
      server_.After(entries_lag_, [this, table = table, rows = rows] {
        SetTable(table, rows);
      });
    }
    if (control.value("forget_history", false)) {
      store_.ForgetHistory();
    }
    log_.Write("control", {{"fields", control}});
  }
  ReplyJson(*call.exchange, 200, faults_.Describe());
}

void PlatformStandin::SetTable(const std::string& table,
                               const nlohmann::json& rows) {
  for (const std::string& key : store_.Keys(table, "")) {
    if (!rows.contains(key)) {
      store_.Remove(table, "", key);
    }
  }
  for (const auto& [key, value] : rows.items()) {
    const std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    if (store_.Get(table, "", key) != text) {
      store_.Put(table, "", key, text);
    }
  }
  log_.Write("table_set", {{"table", table}, {"rows", rows}});
}

void PlatformStandin::HandleTraces(const HttpCall& call) {
  if (call.request.method == "GET") {
    ReplyJson(*call.exchange, 200,
              traces_.List(QueryOf(call.request, "trace_id")));
    return;
  }
  const nlohmann::json otlp =
      nlohmann::json::parse(call.request.body, nullptr, false);
  if (!otlp.is_object()) {
    ReplyJson(*call.exchange, 400, {{"error", "not a JSON object"}});
    return;
  }
  traces_.Add(otlp);
  ReplyJson(*call.exchange, 200, nlohmann::json::object());
}

void PlatformStandin::ServeStore(HttpCall call, const Serve& serve) {
  // A request takes effect even when its caller gave up in the meantime.
  server_.After(serve.delay / 2, [this, call = std::move(call), serve] {
    const auto wait = RowStore::WaitOf(TargetOf(call.request));
    AnswerWatch(call, serve, BootClock::now() + wait);
  });
}

void PlatformStandin::AnswerWatch(HttpCall call,
                                  const Serve& serve,
                                  TimePoint end) {
  if (!store_.HasChanges(TargetOf(call.request)) && BootClock::now() < end &&
      !call.exchange->IsDisconnected()) {
    server_.After(kWatchCheck, [this, call = std::move(call), serve, end] {
      AnswerWatch(call, serve, end);
    });
    return;
  }
  Answer(call, serve);
}

void PlatformStandin::Answer(const HttpCall& call, const Serve& serve) {
  RowStore::Answer answer = Perform(call.request);
  server_.After(
      serve.delay / 2, [this, call, serve, answer = std::move(answer)] {
        if (serve.lose_response) {
          log_.Write("response_lost",
                     {{"path", call.request.path}, {"status", answer.status}});
          call.exchange->Abort();
          return;
        }
        call.exchange->Respond(
            answer.status, {{"Content-Type", "application/json"}}, answer.body);
      });
}

RowStore::Answer PlatformStandin::Perform(const HttpRequest& request) {
  RowStore::Answer answer =
      store_.Handle(request.method, TargetOf(request), request.body);
  for (const RowStore::Change& change : store_.TakeChanges()) {
    nlohmann::json fields = {{"table", change.table},
                             {"key", change.key},
                             {"version", change.version}};
    if (!change.is_removed) {
      fields["value"] = change.value;
    }
    log_.Write(change.is_removed ? "row_removed" : "row_written", fields);
  }
  if (answer.status == 412) {
    log_.Write("condition_failed", {{"path", request.path}});
  } else if (answer.status == 200 && request.method == "PUT") {
    log_.Write("object_written", {{"path", request.path},
                                  {"bytes", request.body.size()},
                                  {"sha256", Sha256Hex(request.body)}});
  }
  return answer;
}

}  // namespace carawayrelay::tools
