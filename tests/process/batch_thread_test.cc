#include "process/batch/batch_thread.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "process/fake_store.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The batch threads of an entry with a fake store, and an agent that responds
// to each item at once.
struct BatchThreadFixture {
  FakeStore platform;
  ConfigPtr config;
  std::unique_ptr<BatchThread> batch;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;

  BatchThreadFixture() {
    spdlog::set_level(spdlog::level::off);
    ConfigDocument document;
    document.workspaces = {{.name = "w", .rate_per_second = 1, .burst = 1}};
    document.routes = {{.name = "m"}};
    config = ConfigSnapshot::Make(ConfigVersion{1}, ToJson(document)).value();
    BatchThread::Options options{.node = "entry1",
                                 .platform = {.base_url = platform.url()},
                                 .api = {.items_per_chunk = 10}};
    const auto send = [this](ConnectionId connection, const Message& message) {
      RespondToSubmit(connection, message);
    };
    batch = BatchThread::Make(options, send, [] {}).value();
    auto [made, url] = ServeOnFreePort(
        [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
          BatchHttpRequest call{request, "w", config, exchange};
          CHECK(batch->TryCall(call));
        });
    server = std::move(made);
    client = HttpClient::Make({.base_url = url}).value();
    batch->SetConfig(config);
    Deliver(LinkUp{.connection = ConnectionId{1}, .peer = {.routes = {"m"}}});
    Deliver(LinkMessage{ConnectionId{1}, BatchCapacity{4}});
  }

  ~BatchThreadFixture() {
    server->Stop();
    batch->Stop();
    spdlog::set_level(spdlog::level::info);
  }

  void Deliver(LinkEvent event) const { CHECK(batch->DeliverLink(event)); }

  // Sends the response of the agent. Runs on the `batch` thread.
  void RespondToSubmit(ConnectionId connection, const Message& message) const {
    const auto* submit = std::get_if<Submit>(&message);
    if (submit == nullptr) {
      return;
    }
    const AttemptId id = submit->attempt;
    Deliver(LinkMessage{connection, Part{id, 0, R"({"answer":1})"}});
    Deliver(LinkMessage{connection,
                        End{.attempt = id, .parts = 1, .http_status = 200}});
    Deliver(LinkMessage{connection, BatchCapacity{4}});
  }

  std::string Call(const std::string& method,
                   const std::string& target,
                   const std::string& body = "") const {
    const auto response =
        client->Send({.method = method, .target = target, .body = body});
    REQUIRE(response);
    CHECK(response.value().status == 200);
    return response.value().body;
  }

  // Returns the job once it has the status, or as it is after 100 requests 50
  // ms apart.
  json AwaitStatus(const std::string& id, const std::string& status) const {
    json job;
    for (int i = 0; i < 100 && job["status"] != status; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      job = json::parse(Call("GET", "/v1/batches/" + id));
    }
    return job;
  }
};

// Guards against faults between the batch threads, the store protocol and the
// HTTP interface that tests of each alone do not show.
TEST_CASE_FIXTURE(BatchThreadFixture,
                  "BatchThread, uploaded job, completes with all results") {
  std::string lines;
  for (int i = 0; i < 35; ++i) {
    lines += R"({"custom_id":"i)" + std::to_string(i) +
             R"(","method":"POST","url":"/v1/chat/completions",)"
             R"("body":{"model":"m"}})"
             "\n";
  }
  const json file = json::parse(Call("POST", "/v1/files", lines));
  const json body = {{"input_file_id", file["id"]},
                     {"endpoint", "/v1/chat/completions"}};
  const json created = json::parse(Call("POST", "/v1/batches", body.dump()));
  const json job = AwaitStatus(created["id"], "completed");
  REQUIRE(job["status"] == "completed");
  CHECK(job["request_counts"]["completed"] == 35);
  const std::string output =
      Call("GET", "/v1/files/" + job["output_file_id"].get<std::string>() +
                      "/content");
  CHECK(std::count(output.begin(), output.end(), '\n') == 35);
  CHECK(output.find(R"("body":{"answer":1})") != std::string::npos);
  CHECK(platform.Get("active_jobs", created["id"].get<std::string>()) == "");
}

}  // namespace
}  // namespace carawayrelay
