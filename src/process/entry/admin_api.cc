#include "process/entry/admin_api.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "process/dispatch/refusal_json.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// Retry-After when the store is unavailable. An outage usually lasts longer
// than one poll interval.
constexpr std::chrono::milliseconds kStoreRetry{2000};
constexpr std::chrono::milliseconds kOverloadRetry{1000};

struct ConfigWrite {
  ConfigVersion based_on = kNoConfig;
  std::string document;
};

void ReplyJson(const HttpExchangePtr& exchange, int status, const json& body) {
  exchange->Respond(status, {{"Content-Type", "application/json"}},
                    body.dump(-1, ' ', false, json::error_handler_t::replace));
}

// Replies with the JSON of the refusal, extended by `fields`.
void ReplyRefusalWithFields(const HttpExchangePtr& exchange,
                            const Refusal& refusal,
                            const json& fields) {
  json body = json::parse(ToJson(refusal));
  body.update(fields);
  exchange->Respond(HttpStatus(refusal.code), RefusalHeaders(refusal),
                    body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void ReplyOverloaded(const HttpExchangePtr& exchange) {
  SendRefusal(*exchange, {.code = RefusalCode::kOverloaded,
                          .reason = "too many operators' requests wait",
                          .retry_after = kOverloadRetry});
}

void ReplyFindings(const HttpExchangePtr& exchange, const Findings& findings) {
  json items = json::array();
  for (const Finding& finding : findings.items()) {
    items.push_back({{"path", finding.path}, {"message", finding.message}});
  }
  ReplyRefusalWithFields(
      exchange,
      {.code = RefusalCode::kInvalidRequest, .reason = findings.ToText()},
      {{"findings", std::move(items)}});
}

std::optional<ConfigWrite> ParseConfigWrite(const std::string& body,
                                            Findings& findings) {
  const json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded()) {
    findings.Add("", "not valid JSON");
    return std::nullopt;
  }
  JsonReader reader(parsed, "", findings);
  ConfigWrite write;
  const json* based_on = reader.Find("based_on");
  if (based_on == nullptr || !based_on->is_number_unsigned()) {
    findings.Add("/based_on",
                 "must be the version of the configuration that was changed");
  } else {
    write.based_on = ConfigVersion{based_on->get<std::uint64_t>()};
  }
  const json* document = reader.Find("document");
  if (document == nullptr) {
    findings.Add("/document", "is required");
  } else {
    Findings in_document;
    const auto config = ParseConfigDocument(document->dump(), in_document);
    for (const Finding& finding : in_document.items()) {
      findings.Add("/document" + finding.path, finding.message);
    }
    if (config) {
      write.document = ToJson(*config);
    }
  }
  reader.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return write;
}

Refusal ToRefusal(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalid:
      return {.code = RefusalCode::kInvalidRequest, .reason = error.message};
    case ErrorCode::kConflict:
      return {.code = RefusalCode::kConflict, .reason = error.message};
    case ErrorCode::kUnavailable:
      return {
          .code = RefusalCode::kStoreDown,
          .reason = "the platform's store is not available: " + error.message,
          .retry_after = kStoreRetry};
    case ErrorCode::kUnknown:
      return {
          .code = RefusalCode::kStoreDown,
          .run_state = RunState::kUnknown,
          .reason = "the change may or may not be in effect: " + error.message};
    default:
      return {.code = RefusalCode::kInternal, .reason = error.message};
  }
}

void ReplyOutcome(const HttpExchangePtr& exchange,
                  const PublishOutcome& outcome) {
  std::visit(Overloaded{
                 [&](const ConfigPublished& published) {
                   ReplyJson(exchange, 200,
                             {{"version", ToInt(published.config->version())},
                              {"hash", published.config->content_hash()}});
                 },
                 [&](const ConfigConflict& conflict) {
                   const std::uint64_t current = ToInt(conflict.current);
                   ReplyRefusalWithFields(
                       exchange,
                       {.code = RefusalCode::kConflict,
                        .reason = "the current configuration version is " +
                                  std::to_string(current)},
                       {{"current_version", current}});
                 },
                 [&](const ConfigFailed& failed) {
                   SendRefusal(*exchange, ToRefusal(failed.error));
                 },
             },
             outcome);
}

void ReplyConfig(const HttpExchangePtr& exchange, const ConfigState& state) {
  if (state.config == nullptr && !state.last_read_age) {
    SendRefusal(*exchange, {.code = RefusalCode::kStoreDown,
                            .reason = "the configuration has not been read yet",
                            .retry_after = kStoreRetry});
    return;
  }
  if (state.config == nullptr) {
    ReplyJson(exchange, 200,
              {{"version", 0},
               {"hash", ""},
               {"document", json::parse(ToJson(ConfigDocument{}))}});
    return;
  }
  ReplyJson(exchange, 200,
            {{"version", ToInt(state.config->version())},
             {"hash", state.config->content_hash()},
             {"document", json::parse(state.config->json())}});
}

json MakeStatusJson(const ConfigState& state,
                    const AdminApi::Options& options) {
  json status = {{"node", options.node},
                 {"zone", options.zone},
                 {"program_version", RELAY_VERSION},
                 {"config", nullptr},
                 {"platform_age_ms", nullptr},
                 {"vms", json::array()}};
  if (state.config != nullptr) {
    status["config"] = {{"version", ToInt(state.config->version())},
                        {"hash", state.config->content_hash()},
                        {"zones_out", state.config->document().zones_out}};
  }
  if (state.last_read_age) {
    status["platform_age_ms"] = state.last_read_age->count();
  }
  for (const VmInfo& vm : state.vms) {
    status["vms"].push_back({{"node", vm.node},
                             {"role", vm.role},
                             {"zone", vm.zone},
                             {"address", vm.address},
                             {"leaving", vm.leaving}});
  }
  if (options.entry_status) {
    json entry = json::parse(options.entry_status(), nullptr, false);
    status["entry"] = entry.is_discarded() ? json() : std::move(entry);
  }
  return status;
}

}  // namespace

AdminApi::AdminApi(ConfigWatch& watch, Options options)
    : watch_(watch), options_(std::move(options)) {}

void AdminApi::Handle(const HttpRequest& request,
                      const HttpExchangePtr& exchange) {
  const bool is_config = request.path == "/admin/config";
  if (is_config && request.method == "GET") {
    GetConfig(exchange);
  } else if (is_config && request.method == "POST") {
    PostConfig(request, exchange);
  } else if (request.path == "/admin/status" && request.method == "GET") {
    GetStatus(exchange);
  } else {
    SendRefusal(*exchange, {.code = RefusalCode::kNotFound,
                            .reason = "no operation " + request.method + " " +
                                      request.path});
  }
}

void AdminApi::GetConfig(const HttpExchangePtr& exchange) {
  if (!watch_.TryRefresh([exchange](const ConfigState& state) {
        ReplyConfig(exchange, state);
      })) {
    ReplyOverloaded(exchange);
  }
}

void AdminApi::GetStatus(const HttpExchangePtr& exchange) {
  if (!watch_.TryRefresh(
          [exchange, options = options_](const ConfigState& state) {
            ReplyJson(exchange, 200, MakeStatusJson(state, options));
          })) {
    ReplyOverloaded(exchange);
  }
}

void AdminApi::PostConfig(const HttpRequest& request,
                          const HttpExchangePtr& exchange) {
  Findings findings;
  std::optional<ConfigWrite> write = ParseConfigWrite(request.body, findings);
  if (!write) {
    ReplyFindings(exchange, findings);
    return;
  }
  if (!watch_.TryPublish(write->based_on, std::move(write->document),
                         [exchange](const PublishOutcome& outcome) {
                           ReplyOutcome(exchange, outcome);
                         })) {
    ReplyOverloaded(exchange);
  }
}

}  // namespace carawayrelay
