#include "process/serving/request_intake.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process/transport/http_client.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// An HTTP server whose requests go to a ring that nobody empties, as after the
// last look of an event loop at it.
struct RequestIntakeFixture {
  static constexpr const char* kAddress = "127.0.0.1:39321";
  static constexpr int kNotRunStatus = 503;

  Ring<ServingEvent> events{4};
  RequestIntake intake{events};
  std::unique_ptr<HttpServer> server =
      HttpServer::Make({.listen_address = kAddress},
                       [this](HttpRequest request, HttpExchangePtr exchange) {
                         intake.Accept(std::move(request), std::move(exchange));
                       })
          .value();

  static Result<HttpResponse> Get() {
    return HttpClient::Make({.base_url = std::string("http://") + kAddress,
                             .request_timeout = milliseconds(10000)})
        .value()
        ->Send({.target = "/"});
  }
  void WaitForEvents(size_t count) const {
    const TimePoint end = BootClock::now() + milliseconds(10000);
    while (events.size() < count && BootClock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
};

// Guards against a planned stop that cuts requests which were read but not
// handled yet: they get a response that says that they did not run.
TEST_CASE_FIXTURE(RequestIntakeFixture,
                  "RequestIntake, closed with waiting requests, all answered") {
  std::vector<int> statuses(3);
  std::vector<std::thread> clients;
  for (int& status : statuses) {
    clients.emplace_back([&status] {
      if (const auto response = Get()) {
        status = response.value().status;
      }
    });
  }
  WaitForEvents(statuses.size());
  CHECK(events.size() == statuses.size());
  intake.Close();
  for (std::thread& client : clients) {
    client.join();
  }
  CHECK(statuses == std::vector<int>(3, kNotRunStatus));
}

// Guards against requests that are read after the event loop ended.
TEST_CASE_FIXTURE(RequestIntakeFixture,
                  "RequestIntake, request after the end, is refused") {
  intake.Close();
  const auto response = Get();
  REQUIRE(response);
  CHECK(response.value().status == kNotRunStatus);
  CHECK(response.value().Header("connection") == "close");
  CHECK(events.size() == 0);
}

// Guards against a full ring that makes requests wait without a response.
TEST_CASE_FIXTURE(RequestIntakeFixture,
                  "RequestIntake, ring is full, request is refused") {
  for (int i = 0; i < 4; ++i) {
    events.TryPush(ServingEvent(ReloadRequested{}));
  }
  const auto response = Get();
  REQUIRE(response);
  CHECK(response.value().status == kNotRunStatus);
}

}  // namespace
}  // namespace carawayrelay
