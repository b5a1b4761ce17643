#include "harness/api_client.h"

#include <optional>
#include <string_view>
#include <utility>

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";
constexpr char kBoundary[] = "carawayrelay-harness-boundary";

CallError MakeError(const CallResult& result) {
  CallError error;
  error.http_status = result.http_status;
  if (!result.transport_error.empty()) {
    error.kind = CallErrorKind::kTransport;
    error.message = result.transport_error;
    return error;
  }
  error.kind = CallErrorKind::kRefused;
  const json body = json::parse(result.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    const json& details = body["error"];
    const auto text = [&](const char* name) {
      const auto found = details.find(name);
      return found != details.end() && found->is_string()
                 ? found->get<std::string>()
                 : std::string();
    };
    error.code = text("code");
    error.run_state = text("run_state");
    error.message = text("message");
  } else {
    error.message = result.body;
  }
  return error;
}

CallError MakeProtocolError(const CallResult& result, std::string message) {
  CallError error;
  error.kind = CallErrorKind::kProtocolError;
  error.http_status = result.http_status;
  error.message = std::move(message);
  return error;
}

bool IsSuccess(const CallResult& result) {
  return result.transport_error.empty() && result.http_status / 100 == 2;
}

// Collects the tokens of a streamed response and their arrival times.
class StreamReader {
 public:
  explicit StreamReader(const CallResult& result) : result_(result) {}

  CallOutcome<ChatResponse> Read() {
    const std::string_view body = result_.body;
    size_t start = 0;
    while (start < body.size()) {
      size_t end = body.find("\n\n", start);
      end = end == std::string_view::npos ? body.size() : end;
      if (const auto error =
              HandleEvent(body.substr(start, end - start), end)) {
        return *error;
      }
      start = end + 2;
    }
    if (!is_done_) {
      return MakeMissingEndError();
    }
    response_.total_time = result_.ended - result_.started;
    return std::move(response_);
  }

 private:
  std::optional<CallError> HandleEvent(std::string_view event, size_t end) {
    if (event.empty() || event.starts_with(":")) {
      return std::nullopt;
    }
    if (is_done_) {
      return MakeProtocolError(result_,
                               "received an event after the end marker");
    }
    const size_t data = event.find(kDataPrefix);
    if (data == std::string_view::npos) {
      return MakeProtocolError(result_, "event has no data field");
    }
    const std::string_view text = event.substr(data + kDataPrefix.size());
    if (text == kEndMarker) {
      is_done_ = true;
      return std::nullopt;
    }
    return HandleChunk(json::parse(text, nullptr, false), end);
  }

  std::optional<CallError> HandleChunk(const json& chunk, size_t end) {
    if (!chunk.is_object()) {
      return MakeProtocolError(result_, "event is not a JSON object");
    }
    if (chunk.contains("error")) {
      CallResult refused;
      refused.http_status = result_.http_status;
      refused.body = chunk.dump();
      return MakeError(refused);
    }
    const json::json_pointer content("/choices/0/delta/content");
    if (!chunk.contains(content) || !chunk.at(content).is_string()) {
      return std::nullopt;
    }
    const std::string token = chunk.at(content).get<std::string>();
    if (token.empty()) {
      return std::nullopt;
    }
    const TimePoint arrival = ArrivalTimeOf(end);
    if (response_.tokens == 0) {
      response_.first_token_latency = arrival - result_.started;
    } else {
      response_.inter_token_latencies.push_back(arrival - last_arrival_);
    }
    last_arrival_ = arrival;
    response_.content += token;
    ++response_.tokens;
    return std::nullopt;
  }

  // Time at which the first `size` bytes of the body had arrived. Must be
  // called with increasing sizes, because the search continues where the last
  // one ended.
  TimePoint ArrivalTimeOf(size_t size) {
    while (next_arrival_ + 1 < result_.arrivals.size() &&
           result_.arrivals[next_arrival_].first < size) {
      ++next_arrival_;
    }
    return result_.arrivals.empty() ? result_.ended
                                    : result_.arrivals[next_arrival_].second;
  }

  CallError MakeMissingEndError() const {
    return result_.transport_error.empty()
               ? MakeProtocolError(result_,
                                   "stream ended without its end marker")
               : MakeError(result_);
  }

  const CallResult& result_;
  ChatResponse response_;
  size_t next_arrival_ = 0;
  TimePoint last_arrival_;
  bool is_done_ = false;
};

CallOutcome<ChatResponse> ReadJsonResponse(const CallResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  const json::json_pointer content("/choices/0/message/content");
  if (!body.is_object() || !body.contains(content) ||
      !body.at(content).is_string()) {
    return MakeProtocolError(result, "response has no message content");
  }
  ChatResponse response;
  response.content = body.at(content).get<std::string>();
  response.tokens =
      body.value(json::json_pointer("/usage/completion_tokens"), 0);
  response.total_time = result.ended - result.started;
  response.first_token_latency = response.total_time;
  return response;
}

}  // namespace

std::string ToText(const CallError& error) {
  static constexpr const char* kKindTexts[] = {"no complete response",
                                               "refused", "protocol error"};
  std::string text = kKindTexts[static_cast<size_t>(error.kind)];
  text += " (status " + std::to_string(error.http_status);
  for (const std::string& detail : {error.code, error.run_state}) {
    text += detail.empty() ? "" : ", " + detail;
  }
  return text + "): " + error.message;
}

bool BatchState::IsRunning() const {
  return status != "completed" && status != "failed" && status != "expired" &&
         status != "cancelled";
}

CallOutcome<ChatResponse> ReadChatResponse(const CallResult& result) {
  const auto type = result.headers.find("content-type");
  const bool is_stream = type != result.headers.end() &&
                         type->second.starts_with("text/event-stream");
  if (result.http_status == 200 && is_stream) {
    return StreamReader(result).Read();
  }
  if (!IsSuccess(result)) {
    return MakeError(result);
  }
  return ReadJsonResponse(result);
}

ApiClient::ApiClient(CurlHttpClient& http,
                     std::string base_url,
                     std::string key)
    : http_(http), base_url_(std::move(base_url)), key_(std::move(key)) {}

CallSpec ApiClient::MakeSpec(const std::string& method,
                             const std::string& path,
                             const std::string& body) const {
  CallSpec spec;
  spec.method = method;
  spec.url = base_url_ + path;
  spec.body = body;
  spec.headers = {"Content-Type: application/json"};
  if (!key_.empty()) {
    spec.headers.push_back("Authorization: Bearer " + key_);
  }
  return spec;
}

CallSpec ApiClient::MakeChatSpec(const ChatCall& call) const {
  const json body = {
      {"model", call.model},
      {"messages", json::array({{{"role", "user"}, {"content", call.prompt}}})},
      {"max_tokens", call.max_tokens},
      {"stream", call.stream}};
  CallSpec spec = MakeSpec("POST", "/v1/chat/completions", body.dump());
  spec.timeout = call.timeout;
  if (!call.traceparent.empty()) {
    spec.headers.push_back("traceparent: " + call.traceparent);
  }
  return spec;
}

void ApiClient::Chat(const ChatCall& call, ChatDone done) {
  http_.Start(MakeChatSpec(call),
              [done = std::move(done)](const CallResult& result) {
                done(ReadChatResponse(result));
              });
}

CallOutcome<ChatResponse> ApiClient::Chat(const ChatCall& call) {
  return ReadChatResponse(http_.Run(MakeChatSpec(call)));
}

CallOutcome<json> ApiClient::RunJson(CallSpec spec) {
  const CallResult result = http_.Run(std::move(spec));
  if (!IsSuccess(result)) {
    return MakeError(result);
  }
  json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) {
    return MakeProtocolError(result, "response is not a JSON object");
  }
  return body;
}

CallOutcome<std::string> ApiClient::UploadFile(const std::string& lines) {
  const std::string delimiter = std::string("--") + kBoundary;
  CallSpec spec = MakeSpec(
      "POST", "/v1/files",
      delimiter +
          "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch"
          "\r\n" +
          delimiter +
          "\r\nContent-Disposition: form-data; name=\"file\"; "
          "filename=\"items.jsonl\"\r\nContent-Type: application/jsonl\r\n\r"
          "\n" +
          lines + "\r\n" + delimiter + "--\r\n");
  spec.headers[0] =
      std::string("Content-Type: multipart/form-data; boundary=") + kBoundary;
  BOOST_OUTCOME_TRY(const json body, RunJson(std::move(spec)));
  return body.value("id", "");
}

CallOutcome<std::string> ApiClient::DownloadFile(const std::string& id) {
  CallResult result =
      http_.Run(MakeSpec("GET", "/v1/files/" + id + "/content", ""));
  if (!IsSuccess(result)) {
    return MakeError(result);
  }
  return std::move(result.body);
}

CallOutcome<BatchState> ApiClient::RunBatch(CallSpec spec) {
  BOOST_OUTCOME_TRY(const json body, RunJson(std::move(spec)));
  BatchState state;
  state.id = body.value("id", "");
  state.status = body.value("status", "");
  const json output = body.value("output_file_id", json());
  state.output_file = output.is_string() ? output.get<std::string>() : "";
  state.total = body.value(json::json_pointer("/request_counts/total"), 0);
  state.completed =
      body.value(json::json_pointer("/request_counts/completed"), 0);
  state.failed = body.value(json::json_pointer("/request_counts/failed"), 0);
  return state;
}

CallOutcome<BatchState> ApiClient::CreateBatch(const std::string& file,
                                               const std::string& name) {
  const json body = {{"input_file_id", file},
                     {"endpoint", "/v1/chat/completions"},
                     {"completion_window", "24h"}};
  CallSpec spec = MakeSpec("POST", "/v1/batches", body.dump());
  if (!name.empty()) {
    spec.headers.push_back("Idempotency-Key: " + name);
  }
  return RunBatch(std::move(spec));
}

CallOutcome<BatchState> ApiClient::GetBatch(const std::string& id) {
  return RunBatch(MakeSpec("GET", "/v1/batches/" + id, ""));
}

CallOutcome<BatchState> ApiClient::CancelBatch(const std::string& id) {
  return RunBatch(MakeSpec("POST", "/v1/batches/" + id + "/cancel", ""));
}

CallOutcome<std::string> ApiClient::CallService(
    const std::string& method,
    const std::string& route_and_path,
    const std::string& body,
    const std::string& idempotency_key) {
  CallSpec spec = MakeSpec(method, "/services/" + route_and_path, body);
  if (!idempotency_key.empty()) {
    spec.headers.push_back("Idempotency-Key: " + idempotency_key);
  }
  CallResult result = http_.Run(std::move(spec));
  if (!IsSuccess(result)) {
    return MakeError(result);
  }
  return std::move(result.body);
}

}  // namespace carawayrelay::tools
