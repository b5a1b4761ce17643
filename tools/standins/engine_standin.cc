#include "standins/engine_standin.h"

#include <algorithm>
#include <cstdlib>

#include "standins/chat_format.h"
#include "standins/expected_answer.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

constexpr int kMaxAnswerTokens = 100000;

// Looks for a caller's key, which no backend server may see.
bool ShowsKey(const HttpRequest& request) {
  return request.headers.contains("authorization") ||
         std::any_of(request.headers.begin(), request.headers.end(),
                     [](const auto& header) {
                       return header.second.find("cr_") != std::string::npos;
                     });
}

}  // namespace

EngineStandin::EngineStandin(const Options& options,
                             const EventLog& log,
                             StandinServer& server)
    : options_(options),
      log_(log),
      model_(options.model, BootClock::now()),
      step_timer_(server.io()),
      deliveries_(server.io()),
      load_(model_.CurrentLoad(), options.load_lag) {
  log_.Write("cold", {{"cause", "start"}});
}

void EngineStandin::Handle(const HttpCall& call) {
  const std::string& path = call.request.path;
  if (path == "/v1/chat/completions" && call.request.method == "POST") {
    HandleChat(call);
  } else if (path == "/load") {
    const EngineModel::Load load = load_.Get(BootClock::now());
    ReplyJson(*call.exchange, 200,
              {{"running", load.running},
               {"waiting", load.waiting},
               {"kv_used", load.kv_used},
               {"capacity", load.capacity}});
  } else if (path == "/control") {
    HandleControl(call);
  } else {
    ReplyJson(*call.exchange, 404, {{"error", "no such path"}});
  }
}

void EngineStandin::HandleControl(const HttpCall& call) {
  const json control = json::parse(call.request.body, nullptr, false);
  if (!control.is_object()) {
    ReplyJson(*call.exchange, 400, {{"error", "not a JSON object"}});
    return;
  }
  log_.Write("control", {{"fields", control}});
  cross_answers_ = control.value("cross_answers", cross_answers_);
  break_streams_ = control.value("break_streams", break_streams_);
  fail_prompts_ = control.value("fail_prompts", fail_prompts_);
  if (control.contains("late_ms")) {
    deliveries_.SetDelay(
        std::chrono::milliseconds(control["late_ms"].get<int>()));
  }
  if (control.value("cold", false)) {
    model_.BecomeCold(BootClock::now());
    log_.Write("cold", {{"cause", "control"}, {"running", streams_.size()}});
  }
  if (control.value("restart", false)) {
    const std::vector<SequenceId> broken = model_.Restart(BootClock::now());
    log_.Write("cold", {{"cause", "restart"}, {"running", broken.size()}});
    BreakStreams(broken, "restart");
  }
  ReplyJson(*call.exchange, 200, json::object());
}

bool EngineStandin::PassesFence(const HttpCall& call, const std::string& id) {
  const std::string scope = HeaderOf(call.request, "x-fencing-scope");
  if (scope.empty()) {
    return true;
  }
  const std::uint64_t number = std::strtoull(
      HeaderOf(call.request, "x-fencing-number").c_str(), nullptr, 10);
  std::uint64_t& highest = highest_fence_[scope];
  if (options_.check_fence && number < highest) {
    log_.Write("fence_refused", {{"id", id},
                                 {"scope", scope},
                                 {"number", number},
                                 {"highest", highest}});
    ReplyError(*call.exchange, 409, "the fencing number is stale");
    return false;
  }
  highest = std::max(highest, number);
  return true;
}

bool EngineStandin::MustFail(const std::string& prompt) const {
  return std::any_of(fail_prompts_.begin(), fail_prompts_.end(),
                     [&](const std::string& text) {
                       return prompt.find(text) != std::string::npos;
                     });
}

void EngineStandin::HandleChat(const HttpCall& call) {
  const json body = json::parse(call.request.body, nullptr, false);
  const std::optional<ChatRequest> chat = ReadChatRequest(body);
  std::string id = HeaderOf(call.request, "x-request-id");
  if (id.empty()) {
    id = "own-" + std::to_string(++last_own_id_);
  }
  if (!chat) {
    log_.Write("request_failed", {{"id", id}, {"status", 400}});
    ReplyError(*call.exchange, 400, "not a chat completion request");
    return;
  }
  if (!PassesFence(call, id)) {
    return;
  }
  if (MustFail(chat->prompt)) {
    log_.Write("request_failed",
               {{"id", id},
                {"status", 500},
                {"prompt", PromptHash(chat->model, chat->prompt)},
                {"scope", HeaderOf(call.request, "x-fencing-scope")}});
    ReplyError(*call.exchange, 500, "the prompt always fails");
    return;
  }
  Stream stream;
  stream.exchange = call.exchange;
  stream.id = id;
  stream.model = chat->model;
  stream.prompt_hash = PromptHash(chat->model, chat->prompt);
  stream.seed = AnswerSeed(chat->model, chat->prompt);
  stream.is_streamed = chat->stream;
  Start(call, std::move(stream), chat->prompt,
        std::clamp(chat->max_tokens, 1, kMaxAnswerTokens));
}

void EngineStandin::Start(const HttpCall& call,
                          Stream stream,
                          const std::string& prompt,
                          int answer_tokens) {
  PromptShape shape = ShapeOf(prompt);
  stream.prompt_tokens = shape.tokens;
  const EngineModel::Admission admission =
      model_.Submit(std::move(shape), answer_tokens, BootClock::now());
  std::visit(
      Overloaded{
          [&](const EngineModel::Accepted& accepted) {
            const EngineModel::Load load = model_.CurrentLoad();
            json fields = {
                {"id", stream.id},
                {"prompt", stream.prompt_hash},
                {"model", stream.model},
                {"tokens", answer_tokens},
                {"shows_key", ShowsKey(call.request)},
                {"traceparent", HeaderOf(call.request, "traceparent")},
                {"running", load.running},
                {"waiting", load.waiting},
                {"cold", model_.IsCold(BootClock::now())}};
            const std::string scope = HeaderOf(call.request, "x-fencing-scope");
            if (!scope.empty()) {
              fields["scope"] = scope;
              fields["number"] = HeaderOf(call.request, "x-fencing-number");
            }
            log_.Write("request_started", std::move(fields));
            if (break_streams_ > 0) {
              --break_streams_;
              stream.break_before = answer_tokens / 2;
            }
            streams_.emplace(accepted.sequence, std::move(stream));
            UpdateLoad();
            if (!model_.IsInStep()) {
              RunStep();
            }
          },
          [&](const EngineModel::Recovering&) {
            log_.Write("request_refused",
                       {{"id", stream.id}, {"cause", "recovering"}});
            ReplyError(*call.exchange, 503, "the engine is recovering");
          },
          [&](const EngineModel::FellOver& fell_over) {
            log_.Write("fell_over",
                       {{"id", stream.id},
                        {"sequences", fell_over.sequences},
                        {"capacity", options_.model.cold_capacity},
                        {"cold_for_ns", fell_over.cold_for.count()}});
            BreakStreams(fell_over.broken, "fell_over");
            ReplyError(*call.exchange, 503, "the engine fell over");
          },
      },
      admission);
}

void EngineStandin::BreakStreams(const std::vector<SequenceId>& broken,
                                 const char* cause) {
  for (const SequenceId sequence : broken) {
    auto stream = streams_.extract(sequence);
    if (stream.empty()) {
      continue;
    }
    log_.Write("request_broken", {{"id", stream.mapped().id},
                                  {"prompt", stream.mapped().prompt_hash},
                                  {"sent", stream.mapped().sent_tokens},
                                  {"cause", cause}});
    deliveries_.Add(
        [exchange = stream.mapped().exchange] { exchange->Abort(); });
  }
  UpdateLoad();
}

void EngineStandin::RunStep() {
  const std::optional<TimePoint> end = model_.BeginStep(BootClock::now());
  if (!end) {
    return;
  }
  step_timer_.expires_after(*end - BootClock::now());
  step_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      FinishStep();
    }
  });
}

void EngineStandin::FinishStep() {
  DropGoneStreams();
  for (const EngineModel::Token& token : model_.EndStep()) {
    Emit(token);
  }
  UpdateLoad();
  RunStep();
}

void EngineStandin::DropGoneStreams() {
  for (auto entry = streams_.begin(); entry != streams_.end();) {
    if (!entry->second.exchange->IsDisconnected()) {
      ++entry;
      continue;
    }
    log_.Write("request_cancelled", {{"id", entry->second.id},
                                     {"prompt", entry->second.prompt_hash},
                                     {"sent", entry->second.sent_tokens}});
    model_.Cancel(entry->first);
    entry = streams_.erase(entry);
  }
}

void EngineStandin::Emit(const EngineModel::Token& token) {
  const auto found = streams_.find(token.sequence);
  if (found == streams_.end()) {
    return;
  }
  Stream& stream = found->second;
  if (stream.break_before == token.index) {
    model_.Cancel(token.sequence);
    BreakStreams({token.sequence}, "control");
    return;
  }
  if (stream.is_streamed) {
    EmitStreamed(stream, token);
  } else {
    EmitWhole(stream, token);
  }
  stream.sent_tokens = token.index + 1;
  if (token.last) {
    log_.Write("request_finished", {{"id", stream.id},
                                    {"prompt", stream.prompt_hash},
                                    {"tokens", stream.sent_tokens},
                                    {"cached", token.cached_tokens}});
    streams_.erase(found);
  }
}

void EngineStandin::EmitStreamed(Stream& stream,
                                 const EngineModel::Token& token) {
  const Identity identity = IdentityFor(stream, token.index);
  std::string events =
      TokenEvent(identity.id, stream.model, identity.token, token.last);
  if (token.last) {
    events += UsageEvent(
        stream.id, stream.model,
        {stream.prompt_tokens, token.index + 1, token.cached_tokens});
    events += kDoneEvent;
  }
  deliveries_.Add([exchange = stream.exchange, first = token.index == 0,
                   last = token.last, id = stream.id,
                   events = std::move(events)] {
    if (first) {
      exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-cache"},
                                  {"X-Request-Id", id}});
    }
    exchange->SendPart(events);
    if (last) {
      exchange->EndStream();
    }
  });
}

void EngineStandin::EmitWhole(Stream& stream, const EngineModel::Token& token) {
  stream.content += AnswerToken(stream.seed, token.index);
  if (!token.last) {
    return;
  }
  const bool is_crossed = cross_answers_ > 0;
  const Identity identity = IdentityFor(stream, token.index);
  const json body = CompleteResponse(
      identity.id, stream.model, is_crossed ? identity.token : stream.content,
      {stream.prompt_tokens, token.index + 1, token.cached_tokens});
  deliveries_.Add([exchange = stream.exchange, id = identity.id, body] {
    ReplyJson(*exchange, 200, body, {{"X-Request-Id", id}});
  });
}

EngineStandin::Identity EngineStandin::IdentityFor(const Stream& stream,
                                                   int index) {
  if (cross_answers_ == 0) {
    return {stream.id, AnswerToken(stream.seed, index)};
  }
  --cross_answers_;
  Identity other{"another-request", AnswerToken(~stream.seed, index)};
  for (const auto& [sequence, candidate] : streams_) {
    if (candidate.id != stream.id) {
      other = {candidate.id, AnswerToken(candidate.seed, index)};
      break;
    }
  }
  log_.Write("crossed", {{"id", stream.id}, {"other", other.id}});
  return other;
}

void EngineStandin::UpdateLoad() {
  load_.Set(model_.CurrentLoad(), BootClock::now());
}

}  // namespace carawayrelay::tools
