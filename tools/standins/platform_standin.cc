#include "standins/platform_standin.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "carawayrelay/version.h"

namespace carawayrelay::tools {
namespace {

constexpr char kRows[] = "/v1/rows/";
constexpr char kObjects[] = "/v1/objects/";
constexpr size_t kMaxListed = 1000;

Precondition PreconditionOf(const HttpRequest& request) {
  const std::string match = HeaderOf(request, "if-match");
  if (!match.empty()) {
    return MustMatch{match};
  }
  if (HeaderOf(request, "if-none-match") == "*") {
    return MustBeAbsent{};
  }
  return NoPrecondition{};
}

}  // namespace

PlatformStandin::PlatformStandin(const Options& options,
                                 const EventLog& log,
                                 StandinServer& server)
    : log_(log),
      server_(server),
      faults_(options.limits),
      vms_(nlohmann::json::array(), options.vms_lag) {}

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
    log_.Write("control", {{"fields", control}});
  }
  ReplyJson(*call.exchange, 200, faults_.Describe());
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
  const Duration half = serve.delay / 2;
  server_.After(half, [this, call = std::move(call), serve, half] {
    const auto response = std::make_shared<Response>(Perform(call.request));
    server_.After(half, [this, call, serve, response] {
      if (serve.lose_response) {
        log_.Write("response_lost",
                   {{"path", call.request.path}, {"status", response->status}});
        call.exchange->Abort();
        return;
      }
      call.exchange->Reply(response->status, response->headers, response->body);
    });
  });
}

PlatformStandin::Response PlatformStandin::Perform(const HttpRequest& request) {
  const std::string& path = request.path;
  if (path == "/v1/vms") {
    return PerformOnVms(request);
  }
  if (path.starts_with(kRows)) {
    return PerformOnRow(request, path.substr(sizeof(kRows) - 1));
  }
  if (path.starts_with(kObjects)) {
    return PerformOnObject(request,
                           PercentDecode(path.substr(sizeof(kObjects) - 1)));
  }
  return {404, "no such path", {}};
}

PlatformStandin::Response PlatformStandin::PerformOnRow(
    const HttpRequest& request,
    const std::string& name) {
  const size_t slash = name.find('/');
  const std::string table = PercentDecode(name.substr(0, slash));
  const std::string key = slash == std::string::npos
                              ? std::string()
                              : PercentDecode(name.substr(slash + 1));
  if (key.empty()) {
    return request.method == "GET" ? ListRows(request, table)
                                   : Response{405, "a key is missing", {}};
  }
  if (request.method == "PUT") {
    return WriteRow(request, table, key);
  }
  if (request.method == "DELETE") {
    return DeleteRow(request, table, key);
  }
  const std::optional<StoredRow> row = store_.ReadRow(table, key);
  return row ? Response{200, row->value, {{"ETag", row->etag}}}
             : Response{404, "", {}};
}

PlatformStandin::Response PlatformStandin::WriteRow(const HttpRequest& request,
                                                    const std::string& table,
                                                    const std::string& key) {
  const std::optional<std::string> etag =
      store_.WriteRow(table, key, request.body, PreconditionOf(request));
  if (!etag) {
    log_.Write("row_conflict", {{"table", table}, {"key", key}});
    return {412, "", {}};
  }
  log_.Write("row_written", {{"table", table},
                             {"key", key},
                             {"etag", *etag},
                             {"value", request.body}});
  return {200, "", {{"ETag", *etag}}};
}

PlatformStandin::Response PlatformStandin::DeleteRow(const HttpRequest& request,
                                                     const std::string& table,
                                                     const std::string& key) {
  if (!store_.ReadRow(table, key)) {
    return {404, "", {}};
  }
  if (!store_.DeleteRow(table, key, PreconditionOf(request))) {
    log_.Write("row_conflict", {{"table", table}, {"key", key}});
    return {412, "", {}};
  }
  log_.Write("row_deleted", {{"table", table}, {"key", key}});
  return {204, "", {}};
}

PlatformStandin::Response PlatformStandin::ListRows(const HttpRequest& request,
                                                    const std::string& table) {
  const std::string limit_text = QueryOf(request, "limit");
  const size_t limit =
      limit_text.empty()
          ? kMaxListed
          : std::min<size_t>(std::strtoul(limit_text.c_str(), nullptr, 10),
                             kMaxListed);
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [key, row] :
       store_.ListRows(table, QueryOf(request, "prefix"),
                       QueryOf(request, "after"), limit)) {
    rows.push_back({{"key", key}, {"etag", row.etag}, {"value", row.value}});
  }
  return {200,
          nlohmann::json{{"rows", rows}}.dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace),
          {{"Content-Type", "application/json"}}};
}

PlatformStandin::Response PlatformStandin::PerformOnObject(
    const HttpRequest& request,
    const std::string& name) {
  if (request.method == "GET") {
    const std::string* data = store_.ReadObject(name);
    return data != nullptr
               ? Response{200,
                          *data,
                          {{"Content-Type", "application/octet-stream"}}}
               : Response{404, "", {}};
  }
  if (request.method != "PUT") {
    return {405, "", {}};
  }
  switch (store_.WriteObject(name, request.body)) {
    case ObjectWrite::kWritten:
      log_.Write("object_written", {{"name", name},
                                    {"bytes", request.body.size()},
                                    {"sha256", Sha256Hex(request.body)}});
      return {201, "", {}};
    case ObjectWrite::kSameData:
      return {200, "", {}};
    case ObjectWrite::kOtherData:
      log_.Write("object_conflict", {{"name", name}});
      return {409, "", {}};
  }
  return {500, "", {}};
}

PlatformStandin::Response PlatformStandin::PerformOnVms(
    const HttpRequest& request) {
  const TimePoint now = BootClock::now();
  if (request.method == "PUT") {
    const nlohmann::json list =
        nlohmann::json::parse(request.body, nullptr, false);
    if (!list.is_object() || !list.contains("vms")) {
      return {400, "not a JSON object with vms", {}};
    }
    vms_.Set(list["vms"], now);
    log_.Write("vms_set", {{"vms", list["vms"]}});
    return {200, "", {}};
  }
  return {200,
          nlohmann::json{{"vms", vms_.Get(now)}}.dump(),
          {{"Content-Type", "application/json"}}};
}

}  // namespace carawayrelay::tools
