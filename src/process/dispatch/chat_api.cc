#include "process/dispatch/chat_api.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "process/dispatch/refusal_json.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearerScheme = "bearer ";
constexpr size_t kMaxIdempotencyKey = 255;
// The JSON writer is recursive and overflows the stack on deeply nested
// documents.
constexpr int kMaxJsonDepth = 100;
// Bytes of the model and messages that the prefix hash covers. A conversation
// keeps its hash once it is longer than this; for shorter ones a prompt cache
// saves little.
constexpr size_t kHashedPrefixBytes = 1024;
// Approximate size of a token, used to estimate the length of a prompt.
constexpr double kBytesPerToken = 4;
// Time after which a refused client should retry.
constexpr std::chrono::milliseconds kClientRetryDelay{1000};

std::string Header(const HttpRequest& request, const std::string& name) {
  const auto it = request.headers.find(name);
  return it == request.headers.end() ? std::string() : it->second;
}

Refusal InvalidRequest(std::string reason) {
  return {.code = RefusalCode::kInvalidRequest, .reason = std::move(reason)};
}

bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

std::uint64_t HashPrefix(const std::string& model, const json& messages) {
  std::string prefix = model + '\n';
  for (const json& message : messages) {
    if (prefix.size() >= kHashedPrefixBytes) {
      break;
    }
    prefix += message.dump();
  }
  prefix.resize(std::min(prefix.size(), kHashedPrefixBytes));
  return XXH3_64bits(prefix.data(), prefix.size());
}

// Sets the fields that model and service calls have in common. Refuses a
// request that contains its key outside the Authorization header, because the
// key would reach the backend server.
std::variant<ClientRequest, Refusal> FillCommonFields(
    const HttpRequest& request,
    ClientRequest call) {
  call.bearer_token = BearerToken(request);
  call.idempotency_key = Header(request, "idempotency-key");
  call.trace = ParseTraceparent(Header(request, "traceparent"));
  call.cost = 1 + static_cast<double>(call.body.size()) / kBytesPerToken;
  call.arrived = BootClock::now();
  if (call.idempotency_key.size() > kMaxIdempotencyKey) {
    return InvalidRequest("Idempotency-Key is longer than 255 bytes");
  }
  const std::string& token = call.bearer_token;
  if (!token.empty() &&
      (call.body.find(token) != std::string::npos ||
       call.path.find(token) != std::string::npos ||
       call.idempotency_key.find(token) != std::string::npos)) {
    return InvalidRequest(
        "the key must be sent in the Authorization header only");
  }
  return call;
}

}  // namespace

std::string BearerToken(const HttpRequest& request) {
  const std::string value = Header(request, "authorization");
  if (value.size() <= kBearerScheme.size()) {
    return {};
  }
  for (size_t i = 0; i < kBearerScheme.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(value[i])) !=
        kBearerScheme[i]) {
      return {};
    }
  }
  return value.substr(kBearerScheme.size());
}

std::variant<ClientRequest, Refusal> ParseChatCall(const HttpRequest& request) {
  if (IsTooDeep(request.body)) {
    return InvalidRequest("the body is nested too deeply");
  }
  const json body =
      json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return InvalidRequest("the body must be a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return InvalidRequest("'model' must be a string");
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidRequest("'messages' must be an array that is not empty");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
    return InvalidRequest("'stream' must be true or false");
  }
  ClientRequest call;
  call.kind = CallKind::kModel;
  call.route = model->get<std::string>();
  call.method = "POST";
  call.path = request.path;
  // Serialized again, so that a repeated field cannot have a different value
  // for the backend server than for the checks above.
  call.body = body.dump();
  call.stream = stream != body.end() && *stream == true;
  call.prefix_hash = HashPrefix(call.route, *messages);
  return FillCommonFields(request, std::move(call));
}

std::variant<ClientRequest, Refusal> ParseServiceCall(HttpRequest request) {
  const std::string rest = request.path.substr(kServicesPrefix.size());
  const size_t slash = rest.find('/');
  ClientRequest call;
  call.kind = CallKind::kService;
  call.route = rest.substr(0, slash);
  if (call.route.empty()) {
    return Refusal{.code = RefusalCode::kNotFound,
                   .reason = "the path names no service"};
  }
  call.method = request.method;
  call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!request.query.empty()) {
    call.path += "?" + request.query;
  }
  call.body = std::move(request.body);
  call.prefix_hash = XXH3_64bits(call.path.data(), call.path.size());
  return FillCommonFields(request, std::move(call));
}

ChatApi::ChatApi(Push push, const std::atomic<bool>& is_ready)
    : push_(std::move(push)), is_ready_(is_ready) {}

bool ChatApi::Handle(HttpRequest& request, HttpExchangePtr& exchange) {
  const HttpHeaders text = {{"Content-Type", "text/plain"}};
  if (request.path == "/healthz") {
    exchange->Respond(200, text, "ok\n");
  } else if (request.path == "/readyz") {
    const bool is_ready = is_ready_;
    exchange->Respond(is_ready ? 200 : 503, text,
                      is_ready ? "ready\n" : "not ready\n");
  } else if (request.path == "/v1/chat/completions" &&
             request.method == "POST") {
    HandleCall(ParseChatCall(request), exchange);
  } else if (request.path == "/v1/models" && request.method == "GET") {
    PushOrRefuse(ModelsRequested{.request = NextId(),
                                 .bearer_token = BearerToken(request)},
                 exchange);
  } else if (request.path.starts_with(kServicesPrefix)) {
    HandleCall(ParseServiceCall(std::move(request)), exchange);
  } else {
    return false;
  }
  return true;
}

void ChatApi::HandleCall(std::variant<ClientRequest, Refusal> parsed,
                         const HttpExchangePtr& exchange) {
  if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
    SendRefusal(*exchange, *refusal);
    return;
  }
  auto& call = std::get<ClientRequest>(parsed);
  call.id = NextId();
  PushOrRefuse(RequestArrived{std::move(call)}, exchange);
}

void ChatApi::PushOrRefuse(DispatchEvent event,
                           const HttpExchangePtr& exchange) {
  if (!push_(std::move(event), exchange)) {
    SendRefusal(*exchange, {.code = RefusalCode::kOverloaded,
                            .reason = "this entry has too much to do",
                            .retry_after = kClientRetryDelay});
  }
}

RequestId ChatApi::NextId() {
  return RequestId{next_request_++};
}

}  // namespace carawayrelay
