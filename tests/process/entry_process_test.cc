#include <curl/curl.h>
#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr const char* kClientAddress = "127.0.0.1:18481";
constexpr const char* kLinkAddress = "127.0.0.1:18482";
constexpr const char* kAgentAddress = "127.0.0.1:18483";

// An agent without a backend server. The body of a request selects the
// response: "break" closes the connection after the first part, "hang" sends no
// more, and any other body completes the response.
class FakeAgent {
 public:
  FakeAgent() {
    auto link = LinkThread::Make(
        {.listen_address = kAgentAddress,
         .hello = {.node = "a1", .role = Role::kAgent, .routes = {"m", "s"}}},
        [this](LinkEvent& event) {
          OnEvent(event);
          return true;
        });
    REQUIRE(link);
    link_ = std::move(link).value();
    is_link_set_ = true;
  }

  std::atomic<int> submits = 0;
  std::atomic<int> cancels = 0;

 private:
  void OnEvent(const LinkEvent& event) {
    while (!is_link_set_) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    if (const auto* up = std::get_if<LinkUp>(&event)) {
      link_->Send(up->connection, Status{.window = 8});
    } else if (const auto* message = std::get_if<LinkMessage>(&event)) {
      if (const auto* submit = std::get_if<Submit>(&message->message)) {
        OnSubmit(message->connection, *submit);
      } else if (std::holds_alternative<Cancel>(message->message)) {
        ++cancels;
      }
    }
  }

  void OnSubmit(ConnectionId from, const Submit& submit) {
    ++submits;
    const auto contains = [&](const char* text) {
      return submit.body.find(text) != std::string::npos;
    };
    link_->Send(from,
                Part{.attempt = submit.attempt, .data = "data: {\"n\":0}\n\n"});
    if (contains("break")) {
      link_->CloseConnection(from);
    } else if (!contains("hang")) {
      link_->Send(from, Part{.attempt = submit.attempt,
                             .sequence = 1,
                             .data = "data: [DONE]\n\n"});
      link_->Send(from, End{.attempt = submit.attempt,
                            .parts = 2,
                            .http_status = 200,
                            .content_type = "text/plain"});
    }
  }

  std::atomic<bool> is_link_set_ = false;
  std::unique_ptr<LinkThread> link_;
};

struct EntryProcessFixture {
  struct Response {
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string body;
  };

  FakeAgent agent;
  std::unique_ptr<EntryProcess> entry;

  EntryProcessFixture() {
    EntrySettings settings{.node = "e1",
                           .zone = "z1",
                           .listen_callers = kClientAddress,
                           .listen_links = kLinkAddress,
                           .seed_agents = {kAgentAddress}};
    settings.dispatcher.zone = "z1";
    auto made = EntryProcess::Make(std::move(settings), {});
    REQUIRE(made);
    entry = std::move(made).value();
  }

  void AdoptConfig(std::uint64_t version, bool has_key) {
    ConfigDocument document;
    document.workspaces = {
        {.name = "w", .rate_per_second = 1000, .burst = 1000}};
    if (has_key) {
      document.keys = {{.id = "k",
                        .workspace = "w",
                        .salt = "s",
                        .hash = Sha256Hex("ssecret")}};
    }
    document.routes = {{.name = "m"},
                       {.name = "s", .kind = RouteKind::kService}};
    entry->AdoptConfig(
        ConfigSnapshot::Make(ConfigVersion{version}, ToJson(document)).value());
    WaitFor([&] { return entry->IsReady(); });
  }

  template <class Condition>
  static void WaitFor(Condition condition) {
    for (int i = 0; i < 500 && !condition(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(condition());
  }

  static size_t Append(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
  }

  static Response Fetch(const std::string& path,
                        const std::string& body,
                        milliseconds timeout = milliseconds(5000)) {
    Response response;
    CURL* curl = curl_easy_init();
    curl_slist* headers =
        curl_slist_append(nullptr, "Authorization: Bearer cr_k_secret");
    const std::string url = std::string("http://") + kClientAddress + path;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    if (!body.empty()) {
      curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(timeout.count()));
    response.code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return response;
  }

  static Response Chat(const std::string& text, bool stream = true) {
    return Fetch("/v1/chat/completions", R"({"model":"m","messages":[")" +
                                             text + R"("],"stream":)" +
                                             (stream ? "true}" : "false}"));
  }
};

// Guards against a request path with a missing connection between its threads.
TEST_CASE_FIXTURE(EntryProcessFixture,
                  "EntryProcess, requests of all kinds, get responses") {
  CHECK(Fetch("/readyz", "").status == 503);
  CHECK(Chat("hello").body.find("not_ready") != std::string::npos);
  AdoptConfig(1, true);
  CHECK(Fetch("/readyz", "").status == 200);
  CHECK(Fetch("/healthz", "").status == 200);
  CHECK(Fetch("/v1/models", "").body.find("\"m\"") != std::string::npos);
  CHECK(Fetch("/other", "").status == 404);

  const Response streamed = Chat("hello");
  CHECK(streamed.code == CURLE_OK);
  CHECK(streamed.body == "data: {\"n\":0}\n\ndata: [DONE]\n\n");
  CHECK(Fetch("/services/s/x", "body").status == 200);
  entry->Drain();
}

// Guards against an interrupted stream that looks complete to the client.
TEST_CASE_FIXTURE(
    EntryProcessFixture,
    "EntryProcess, agent connection lost, ends stream with an error event") {
  AdoptConfig(1, true);
  const Response response = Chat("break");
  CHECK(response.code != CURLE_OK);
  CHECK(response.body.find("connection_lost") != std::string::npos);
  CHECK(response.body.find("[DONE]") == std::string::npos);
}

// Guards against a stream that continues after its API key was withdrawn.
TEST_CASE_FIXTURE(EntryProcessFixture,
                  "EntryProcess, key withdrawn, ends the running stream") {
  AdoptConfig(1, true);
  std::thread operator_thread([&] {
    WaitFor([&] { return agent.submits == 1; });
    AdoptConfig(2, false);
  });
  const Response response = Chat("hang");
  operator_thread.join();
  CHECK(response.body.find("unauthorized") != std::string::npos);
  WaitFor([&] { return agent.cancels == 1; });
}

// Guards against requests that still run after their clients disconnected.
TEST_CASE_FIXTURE(EntryProcessFixture,
                  "EntryProcess, client disconnects, cancels the attempt") {
  AdoptConfig(1, true);
  const Response response = Fetch(
      "/v1/chat/completions",
      R"({"model":"m","messages":["hang"],"stream":true})", milliseconds(500));
  CHECK(response.code == CURLE_OPERATION_TIMEDOUT);
  WaitFor([&] { return agent.cancels == 1; });
}

}  // namespace
}  // namespace carawayrelay
