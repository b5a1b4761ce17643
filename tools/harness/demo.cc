#include "harness/demo.h"

#include <spdlog/fmt/fmt.h>
#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include "standins/expected_completion.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

constexpr char kModel[] = "demo-model";
constexpr char kService[] = "orders";
constexpr int kOnlineTokens = 24;
constexpr int kBatchTokens = 32;
constexpr int kOrders = 5;
constexpr int kMaxPrintedProblems = 20;
constexpr std::chrono::milliseconds kBatchTimeout{60000};
// Longest wait for the spans of a trace, which the processes export with a
// delay.
constexpr std::chrono::milliseconds kTraceTimeout{5000};
constexpr std::chrono::milliseconds kStopTimeout{10000};

FleetPlan MakePlan(const std::string& program_directory) {
  FleetPlan plan;
  plan.program_directory = program_directory;
  plan.entries = {{"entry-1", "zone-a"}, {"entry-2", "zone-b"}};
  for (const char* zone : {"a", "b", "c"}) {
    BackendPlan backend;
    backend.node = std::string("agent-") + zone;
    backend.zone = std::string("zone-") + zone;
    backend.routes = {kModel};
    backend.standin_flags = {"--cold_ms=1000"};
    plan.backends.push_back(backend);
  }
  BackendPlan service;
  service.node = "agent-orders";
  service.zone = "zone-a";
  service.kind = RouteKind::kService;
  service.routes = {kService};
  plan.backends.push_back(service);
  return plan;
}

// Trace id that an online request sends; the entry continues this trace.
std::string TraceId(int index) {
  return fmt::format("{:032x}", 0x6361726177617900ULL + index + 1);
}

std::int64_t IntegerField(const json& span, const char* name) {
  const auto found = span.find(name);
  if (found == span.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>())
                            : found->get<std::int64_t>();
}

// Value of an attribute of the resource of a span, or empty.
std::string ResourceAttribute(const json& span, const std::string& key) {
  for (const json& attribute :
       span.value(json::json_pointer("/resource/attributes"), json::array())) {
    if (attribute.value("key", "") == key) {
      return attribute.value(json::json_pointer("/value/stringValue"), "");
    }
  }
  return "";
}

}  // namespace

int Demo::Run(StopSignal& stop) {
  Result<std::unique_ptr<ProcessGroup>> processes = ProcessGroup::Make();
  Result<std::unique_ptr<CurlHttpClient>> http = CurlHttpClient::Make();
  if (!processes || !http) {
    fmt::print(stderr, "cannot start the harness: {}\n",
               !processes ? processes.error().message : http.error().message);
    return 1;
  }
  fmt::print("output of the processes: {}\n", processes.value()->directory());
  const Result<void> ran = RunFleet(*processes.value(), *http.value(), stop);
  if (!ran) {
    AddProblem(ran.error().message);
  }
  if (stop.HasArrived() && !options_.keep_running) {
    AddProblem("interrupted by SIGINT or SIGTERM");
  }
  fmt::print("{}\n", problems_ == 0 ? "all answers were correct"
                                    : fmt::format("{} problems", problems_));
  return problems_ == 0 ? 0 : 1;
}

Result<void> Demo::RunFleet(ProcessGroup& processes,
                            CurlHttpClient& http,
                            StopSignal& stop) {
  BOOST_OUTCOME_TRY(
      const std::unique_ptr<Fleet> fleet,
      Fleet::Make(MakePlan(options_.program_directory), processes, http, stop));
  const Result<void> started = fleet->Start(MakeConfig());
  if (started) {
    RunWorkload(*fleet, http, stop);
    CheckOrderHistory(processes);
    if (options_.keep_running) {
      PrintAddresses(*fleet);
      stop.Wait();
    }
  }
  const Result<void> stopped = fleet->Stop(kStopTimeout);
  return started ? stopped : started;
}

void Demo::RunWorkload(Fleet& fleet, CurlHttpClient& http, StopSignal& stop) {
  const std::vector<EntryPlan>& entries = fleet.plan().entries;
  ApiClient batch(http, fleet.EntryUrl(entries.front().node), batch_key_.token);
  // Reads the job through an entry other than the one that accepted it, so that
  // the demo also checks that entries share jobs.
  ApiClient reader(http, fleet.EntryUrl(entries.back().node), batch_key_.token);
  ApiClient orders(http, fleet.EntryUrl(entries.back().node),
                   online_key_.token);
  const TimePoint start = BootClock::now();
  const std::string job = SubmitBatch(batch);
  RunOnline(fleet, http, stop);
  SendOrders(orders);
  if (!job.empty()) {
    AwaitAndCheckBatch(reader, job, stop);
  }
  const double seconds =
      std::chrono::duration<double>(BootClock::now() - start).count();
  fmt::print("online: {} of {} correct; first token {}; between tokens {}\n",
             correct_online_, options_.online_requests,
             first_token_latencies_.ToText(), inter_token_latencies_.ToText());
  fmt::print("batch: {} of {} items correct\n", correct_batch_,
             options_.batch_items);
  fmt::print("time: {:.1f} s\n", seconds);
  PrintTrace(fleet, stop);
}

ConfigDocument Demo::MakeConfig() const {
  ConfigDocument config;
  for (const TestKey* key : {&online_key_, &batch_key_}) {
    config.workspaces.push_back({.name = key->config.workspace,
                                 .rate_per_second = 1000,
                                 .burst = 1000,
                                 .weight = 1});
    config.keys.push_back(key->config);
  }
  config.routes.push_back({.name = kModel});
  config.routes.push_back(
      {.name = kService, .kind = RouteKind::kService, .repeatable = false});
  return config;
}

ChatCall Demo::OnlineCall(int index) const {
  ChatCall call;
  call.model = kModel;
  call.prompt = fmt::format(
      "You answer questions of the team with number {} in a short and plain "
      "way and name the source of each answer at its end.\nQuestion {}",
      index % 8, index);
  call.max_tokens = kOnlineTokens;
  // One request in eight is not streamed.
  call.stream = index % 8 != 7;
  call.traceparent = fmt::format("00-{}-{:016x}-01", TraceId(index), index + 1);
  return call;
}

void Demo::RunOnline(Fleet& fleet, CurlHttpClient& http, StopSignal& stop) {
  std::vector<ApiClient> clients;
  for (const EntryPlan& entry : fleet.plan().entries) {
    clients.emplace_back(http, fleet.EntryUrl(entry.node), online_key_.token);
  }
  // Shared, because Push() on the other thread may still use the ring after
  // Pop() has returned.
  const auto finished = std::make_shared<Ring<OnlineOutcome>>(
      static_cast<size_t>(options_.concurrency));
  int started = 0;
  const auto start_next = [&] {
    const ChatCall call = OnlineCall(started);
    clients[static_cast<size_t>(started) % clients.size()].Chat(
        call, [finished, call](CallOutcome<ChatResponse> outcome) {
          finished->Push({call, std::move(outcome)});
        });
    ++started;
  };
  while (started < std::min(options_.concurrency, options_.online_requests)) {
    start_next();
  }
  for (int ended = 0; ended < started; ++ended) {
    const std::optional<OnlineOutcome> outcome = finished->Pop();
    CheckOnline(*outcome);
    if (started < options_.online_requests &&
        !stop.WaitFor(std::chrono::milliseconds(0))) {
      start_next();
    }
  }
}

void Demo::CheckOnline(const OnlineOutcome& finished) {
  if (!finished.outcome) {
    AddProblem("online: request failed: " + ToText(finished.outcome.error()));
    return;
  }
  const ChatResponse& response = finished.outcome.value();
  const std::string expected = ExpectedCompletion(
      finished.call.model, finished.call.prompt, finished.call.max_tokens);
  if (response.content != expected) {
    AddProblem(fmt::format("online: expected '{}', got '{}'", expected,
                           response.content));
    return;
  }
  ++correct_online_;
  if (finished.call.stream) {
    first_token_latencies_.Add(response.first_token_latency);
    for (const Duration gap : response.inter_token_latencies) {
      inter_token_latencies_.Add(gap);
    }
  }
}

std::string Demo::BatchPrompt(int index) const {
  return fmt::format("Summarise document {} in one sentence.", index);
}

std::string Demo::SubmitBatch(ApiClient& client) {
  std::string lines;
  for (int index = 0; index < options_.batch_items; ++index) {
    const json line = {
        {"custom_id", "item-" + std::to_string(index)},
        {"method", "POST"},
        {"url", "/v1/chat/completions"},
        {"body",
         {{"model", kModel},
          {"messages",
           json::array({{{"role", "user"}, {"content", BatchPrompt(index)}}})},
          {"max_tokens", kBatchTokens}}}};
    lines += line.dump() + "\n";
  }
  const CallOutcome<std::string> file = client.UploadFile(lines);
  if (!file) {
    AddProblem("batch: upload of the input file failed: " +
               ToText(file.error()));
    return "";
  }
  const CallOutcome<BatchState> job =
      client.CreateBatch(file.value(), "demo-job");
  if (!job) {
    AddProblem("batch: creation of the job failed: " + ToText(job.error()));
    return "";
  }
  return job.value().id;
}

void Demo::AwaitAndCheckBatch(ApiClient& client,
                              const std::string& id,
                              StopSignal& stop) {
  BatchState state;
  const bool ended = stop.PollUntil(
      [&] {
        const CallOutcome<BatchState> polled = client.GetBatch(id);
        if (polled) {
          state = polled.value();
        }
        return polled && !state.IsRunning();
      },
      kBatchTimeout);
  if (!ended || state.status != "completed") {
    AddProblem(
        fmt::format("batch: expected status 'completed', got '{}' with "
                    "{} of {} items completed",
                    state.status, state.completed, state.total));
    return;
  }
  const CallOutcome<std::string> output =
      client.DownloadFile(state.output_file);
  if (!output) {
    AddProblem("batch: download of the output file failed: " +
               ToText(output.error()));
    return;
  }
  std::vector<int> seen(static_cast<size_t>(options_.batch_items), 0);
  std::istringstream lines(output.value());
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty()) {
      CheckBatchLine(json::parse(line, nullptr, false), seen);
    }
  }
  const auto once = std::count(seen.begin(), seen.end(), 1);
  if (once != options_.batch_items) {
    AddProblem(fmt::format("batch: only {} of {} items have exactly one result",
                           once, options_.batch_items));
  }
}

void Demo::CheckBatchLine(const json& line, std::vector<int>& seen) {
  const json::json_pointer content("/response/body/choices/0/message/content");
  const std::string id =
      line.is_object() ? line.value("custom_id", std::string()) : "";
  int index = -1;
  std::istringstream(id.substr(std::min<size_t>(id.size(), 5))) >> index;
  if (index < 0 || index >= options_.batch_items || !line.contains(content)) {
    AddProblem(
        "batch: output line has no known custom_id or no "
        "content: " +
        line.dump());
    return;
  }
  ++seen[static_cast<size_t>(index)];
  if (line.at(content) !=
      json(ExpectedCompletion(kModel, BatchPrompt(index), kBatchTokens))) {
    AddProblem("batch: output line has wrong content: " + line.dump());
    return;
  }
  ++correct_batch_;
}

void Demo::SendOrders(ApiClient& client) {
  for (int index = 0; index < kOrders; ++index) {
    const std::string key = "order-" + std::to_string(index);
    const std::string body = json{{"id", index}}.dump();
    // The second request with the same Idempotency-Key must get the stored
    // response; CheckOrderHistory() checks that the order ran only once.
    for (int resend = 0; resend < 2; ++resend) {
      const CallOutcome<std::string> response =
          client.CallService("POST", "orders/orders", body, key);
      if (!response) {
        AddProblem("order: request failed: " + ToText(response.error()));
      } else if (json::parse(response.value(), nullptr, false)
                     .value("body", std::string()) != body) {
        AddProblem("order: response does not return the body of the request: " +
                   response.value());
      }
    }
  }
}

void Demo::CheckOrderHistory(const ProcessGroup& processes) {
  std::map<std::string, int> executions;
  std::ifstream history(
      processes.OutputPath(Fleet::BackendProcess("agent-orders")));
  for (std::string line; std::getline(history, line);) {
    const json event = json::parse(line, nullptr, false);
    if (event.is_object() && event.value("event", "") == "order_executed") {
      ++executions[event.value("id", "")];
    }
  }
  for (const auto& [id, count] : executions) {
    if (count == 1) {
      ++correct_orders_;
    } else {
      AddProblem(fmt::format("order {} was executed {} times, expected once",
                             id, count));
    }
  }
  fmt::print("orders: {} of {} executed once\n", correct_orders_, kOrders);
  if (correct_orders_ != kOrders) {
    AddProblem("not every order was executed exactly once");
  }
}

void Demo::PrintTrace(Fleet& fleet, StopSignal& stop) {
  const std::string id = TraceId(options_.online_requests - 2);
  const std::string url = fleet.PlatformUrl() + "/v1/traces?trace_id=" + id;
  json spans;
  // The entry and the agent each export one span.
  const bool found = stop.PollUntil(
      [&] {
        const Result<json> traces = fleet.GetJson(url);
        spans = traces ? traces.value()["traces"].value(id, json::array())
                       : json::array();
        return spans.size() >= 2;
      },
      kTraceTimeout);
  if (!found) {
    AddProblem(fmt::format("trace {} has {} spans, expected at least 2", id,
                           spans.size()));
  }
  if (spans.empty()) {
    return;
  }
  fmt::print("trace {}:\n", id);
  const std::int64_t start = IntegerField(spans[0], "startTimeUnixNano");
  for (const json& span : spans) {
    const std::int64_t begin = IntegerField(span, "startTimeUnixNano");
    const std::int64_t end = IntegerField(span, "endTimeUnixNano");
    fmt::print("  {:8.2f} ms  {:8.2f} ms  {} {}\n",
               static_cast<double>(begin - start) / 1e6,
               static_cast<double>(end - begin) / 1e6,
               ResourceAttribute(span, "service.instance.id"),
               span.value("name", ""));
  }
}

void Demo::PrintAddresses(const Fleet& fleet) const {
  for (const EntryPlan& entry : fleet.plan().entries) {
    fmt::print("{}: clients {}, operators {}\n", entry.node,
               fleet.EntryUrl(entry.node), fleet.AdminUrl(entry.node));
  }
  for (const BackendPlan& backend : fleet.plan().backends) {
    fmt::print("{}: stand-in {}\n", backend.node,
               fleet.BackendUrl(backend.node));
  }
  fmt::print("platform: {}\n", fleet.PlatformUrl());
  fmt::print(
      "curl -N {}/v1/chat/completions -H 'Authorization: Bearer {}' -d "
      "'{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\","
      "\"content\":\"hello\"}}]}}'\n",
      fleet.EntryUrl(fleet.plan().entries.front().node), online_key_.token,
      kModel);
  fmt::print("Ctrl-C stops the fleet.\n");
  std::fflush(stdout);
}

void Demo::AddProblem(const std::string& text) {
  if (++problems_ <= kMaxPrintedProblems) {
    fmt::print("PROBLEM: {}\n", text);
  }
}

}  // namespace carawayrelay::tools
