#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/health_report.h"
#include "process/transport/datagram_socket.h"
#include "serving/frontend_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// A frontend on loopback with one backend server, which works for `work` on
// each request.
struct FrontendProcessFixture : FrontendFixture {
  std::atomic<milliseconds> work{milliseconds(0)};
  std::atomic<int> runs = 0;
  std::atomic<int> status = 200;  // of the backend server's answers
  std::mutex threads_mutex;
  std::vector<std::thread> threads;
  std::unique_ptr<HttpServer> backend;

  FrontendProcessFixture() {
    std::string backend_url;
    std::tie(backend, backend_url) = ServeOnFreePort(
        [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
          ++runs;
          const std::lock_guard lock(threads_mutex);
          threads.emplace_back([this, request, exchange] {
            std::this_thread::sleep_for(work.load());
            exchange->Respond(
                status.load(),
                {{"x-carawayrelay-server-stamp", "s"},
                 {"x-carawayrelay-request-id",
                  request.headers.at("x-carawayrelay-request-id")}},
                "done");
          });
        });
    RegisterBackend("backend", backend_url.substr(backend_url.rfind('/') + 1));
    StartFrontend();
    runs = 0;
  }
  ~FrontendProcessFixture() {
    frontend.reset();
    const std::lock_guard lock(threads_mutex);
    for (std::thread& thread : threads) {
      thread.join();
    }
    backend->Stop();
  }
};

// Guards against a planned stop that cuts requests: they were accepted although
// their time limit ends after the stop, passed on, and cut at the stop.
TEST_CASE_FIXTURE(FrontendProcessFixture,
                  "FrontendProcess, stopping, serves or refuses by the time "
                  "limit") {
  work = milliseconds(5000);
  int long_before = -1;
  std::thread client(
      [&] { long_before = Send("before", milliseconds(30000)); });
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(runs == 1);
  std::thread stop([this] { frontend->Drain(); });
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Send("long", milliseconds(5000)) == 503);
  CHECK(runs == 1);
  work = milliseconds(100);
  CHECK(Send("short", milliseconds(1000)) == 200);
  CHECK(runs == 2);
  stop.join();
  client.join();
  // The backend server still worked on it at the stop.
  CHECK(long_before == 504);
}

// Guards against health reports that are not sent, not read, or end the
// process: another frontend hears of a failing backend server, and whatever it
// sends, requests are served.
TEST_CASE_FIXTURE(FrontendProcessFixture,
                  "FrontendProcess, backend server fails, other frontend gets "
                  "a health report") {
  std::mutex mutex;
  std::vector<HealthReport> reports;
  const std::string peer_address = FreeAddress();
  const auto socket =
      DatagramSocket::Make(peer_address, [&](const Datagram& datagram) {
        const auto message = DecodeHealthMessage(datagram.bytes);
        const std::lock_guard lock(mutex);
        if (message && !message.value().reports.empty()) {
          reports.push_back(message.value().reports[0]);
        }
      });
  REQUIRE(socket);
  store.Put("rate_parts", "edge-2",
            {{"address", peer_address}, {"seen", 1000000}, {"counted", true}});
  const HealthMessage unknown{{{.reporter = "edge-9", .sequence = 1}}};
  const HealthMessage known{{{.reporter = "edge-2", .sequence = 1}}};
  const auto has_metric = [&](const std::string& line) {
    const Result<HttpResponse> response =
        HttpClient::Make({.base_url = ready_url})
            .value()
            ->Send({.method = "GET", .target = "/metrics"});
    return response && response.value().body.find(line) != std::string::npos;
  };
  status = 500;
  const TimePoint end = BootClock::now() + milliseconds(10000);
  bool is_received = false;
  bool is_ignored = false;
  bool is_reported = false;
  std::uint64_t sequence = 0;
  while (!(is_received && is_ignored && is_reported) &&
         BootClock::now() < end) {
    HealthMessage next = known;
    next.reports[0].sequence = ++sequence;
    CHECK((*socket.value()).Send(peers_address, EncodeHealthMessage(next)));
    CHECK((*socket.value()).Send(peers_address, EncodeHealthMessage(unknown)));
    CHECK((*socket.value()).Send(peers_address, std::string(64, '\0')));
    Send("failing-" + std::to_string(sequence), milliseconds(1000));
    std::this_thread::sleep_for(milliseconds(200));
    is_received = has_metric("health_reports_total{event=\"received\"} ") &&
                  !has_metric("health_reports_total{event=\"received\"} 0\n");
    is_ignored = has_metric("health_reports_total{event=\"ignored\"} ") &&
                 !has_metric("health_reports_total{event=\"ignored\"} 0\n");
    const std::lock_guard lock(mutex);
    is_reported = !reports.empty();
  }
  CHECK(is_received);
  CHECK(is_ignored);
  REQUIRE(is_reported);
  const std::lock_guard lock(mutex);
  CHECK(reports[0].reporter == "edge-1");
  REQUIRE(reports[0].servers.size() == 1);
  CHECK(reports[0].servers[0].failures > 0);
}

// Guards against a 404 for an accepted job whose route is the last one for
// batch jobs of its host and is removed.
TEST_CASE_FIXTURE(FrontendProcessFixture,
                  "FrontendProcess, route of a job removed, job is read") {
  const std::string submission =
      R"({"items":[{"id":"item-1","path":"/b/1","body":"","tokens":10}]})";
  REQUIRE(Call("POST", "/b/1", "j", milliseconds(4000), submission) == 202);
  config["version"] = 2;
  config["routes"].erase(3);
  store.Put("op", "config", config);
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(Call("POST", "/b/1", "k", milliseconds(4000), submission) == 404);
  CHECK(Call("GET", "/lots/j", "r", milliseconds(4000), "") == 200);
  CHECK(Call("GET", "/lots/none", "r", milliseconds(4000), "") == 404);
  CHECK(Call("DELETE", "/lots/j", "r", milliseconds(4000), "") == 200);
}

}  // namespace
}  // namespace carawayrelay
