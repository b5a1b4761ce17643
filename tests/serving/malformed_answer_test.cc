#include <doctest/doctest.h>

#include <asio/completion_condition.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/serving/worker_process.h"
#include "serving/frontend_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// A backend server that answers each request with bytes of the test's choice
// and closes the connection.
class RawBackend {
 public:
  // Returns the answer to the request with this head. Runs on the thread of the
  // server.
  using Answer = std::function<std::string(const std::string& head)>;

  explicit RawBackend(Answer answer)
      : answer_(std::move(answer)), thread_([this] { Run(); }) {}
  ~RawBackend() {
    is_stopped_ = true;
    asio::ip::tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint());
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Run() {
    while (true) {
      asio::io_context io;
      asio::ip::tcp::socket socket = acceptor_.accept(io);
      if (is_stopped_) {
        return;
      }
      asio::error_code error;
      const std::string head = ReadRequest(socket, error);
      if (!error) {
        asio::write(socket, asio::buffer(answer_(head)), error);
      }
    }
  }
  // Returns the head, and reads the body.
  static std::string ReadRequest(asio::ip::tcp::socket& socket,
                                 asio::error_code& error) {
    constexpr std::string_view kLength = "Content-Length: ";
    asio::streambuf buffer;
    const size_t head_bytes =
        asio::read_until(socket, buffer, "\r\n\r\n", error);
    const auto* data = static_cast<const char*>(buffer.data().data());
    std::string head(data, head_bytes);
    const size_t at = head.find(kLength);
    const size_t body_bytes =
        at == std::string::npos ? 0
                                : std::stoul(head.substr(at + kLength.size()));
    const size_t bytes = head_bytes + body_bytes;
    if (!error && buffer.size() < bytes) {
      asio::read(socket, buffer, asio::transfer_exactly(bytes - buffer.size()),
                 error);
    }
    return head;
  }

  Answer answer_;
  std::atomic<bool> is_stopped_ = false;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{
      io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::thread thread_;
};

// A frontend and two backend servers of the same service. The first answers of
// the two together are broken, as many as `broken_left` says.
struct MalformedAnswerFixture : FrontendFixture {
  static constexpr const char* kSound = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  static constexpr const char* kWrong = "id: 1\ndata: wrong\n\n";

  std::string broken;  // set while no request is under way
  std::atomic<int> broken_left = 0;
  std::atomic<int> runs = 0;
  RawBackend first{[this](const std::string& head) { return Answer(head); }};
  RawBackend second{[this](const std::string& head) { return Answer(head); }};

  MalformedAnswerFixture() {
    RegisterBackend("first", first.address());
    RegisterBackend("second", second.address());
    StartFrontend();
  }
  ~MalformedAnswerFixture() { frontend.reset(); }

  std::string Answer(const std::string& head) {
    if (head.starts_with("GET /report ")) {
      return SoundAnswer(R"({"running":0,"queued":0})");
    }
    ++runs;
    if (broken_left > 0) {
      --broken_left;
      return broken;
    }
    return SoundAnswer(kSound);
  }
  static std::string WithHead(const std::string& status_line,
                              const std::string& lines,
                              const std::string& body) {
    return status_line +
           "\r\nX-Carawayrelay-Server-Stamp: s\r\n"
           "Content-Type: text/event-stream\r\n" +
           lines + "\r\n\r\n" + body;
  }
  static std::string SoundAnswer(const std::string& body) {
    return WithHead("HTTP/1.1 200 OK",
                    "Content-Length: " + std::to_string(body.size()), body);
  }
  // One answer of each kind that is spoilt in one place of its head.
  static std::vector<std::string> BrokenAnswers() {
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string size = std::to_string(std::string(kWrong).size());
    const std::string length = "Content-Length: " + size;
    const std::string chunks = "13\r\n" + std::string(kWrong) + "\r\n0\r\n\r\n";
    return {
        WithHead(ok, "X Note: v\r\n" + length, kWrong),
        WithHead(ok, "X-Note : v\r\n" + length, kWrong),
        WithHead(ok, "X-No\x01te: v\r\n" + length, kWrong),
        WithHead(ok, " X-Note: v\r\n" + length, kWrong),
        WithHead(ok, "Content-Length : " + size, kWrong),
        WithHead(ok, "Transfer-Encoding : chunked", chunks),
        WithHead(ok, "X-Note: v\x01w\r\n" + length, kWrong),
        WithHead(ok, length + "x", kWrong),
        WithHead(ok, length + "\r\nContent-Length: 400", kWrong),
        WithHead(ok, "Content-Length: 99999999999999999999999999", kWrong),
        WithHead(ok, "Content-Length: -1", kWrong),
        WithHead(ok, "Transfer-Encoding: ", kWrong),
        WithHead(ok, "Transfer-Encoding: chunked\r\n" + length, chunks),
        WithHead("HTTP/1.1 200x OK", length, kWrong),
        WithHead("HTTP/2 200 OK", length, kWrong),
        WithHead("HTTP/1.1 000 OK", length, kWrong),
        WithHead("HTTP/1.1 2x0 OK", length, kWrong),
    };
  }
  // Makes the next `count` answers broken ones.
  void Break(const std::string& answer, int count) {
    WaitUntilServed();
    broken = answer;
    broken_left = count;
    runs = 0;
  }
  // Whether the status promises that the request has not run.
  static bool IsPromise(int status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
  }
  // Sends a request that must not run twice and checks what its client gets.
  void CheckRunsOnce(const std::string& target) {
    for (const std::string& answer : BrokenAnswers()) {
      CAPTURE(answer);
      Break(answer, 10);
      const Result<HttpResponse> response =
          Ask("POST", target, "once", milliseconds(3000), "{}");
      broken_left = 0;
      CHECK(runs == 1);
      if (response) {
        CHECK(response.value().status >= 500);
        CHECK_FALSE(IsPromise(response.value().status));
        CHECK(response.value().body.find("wrong") == std::string::npos);
      }
    }
  }
};

// Guards against broken answers that reach clients as whole ones, and against
// a second run of a request whose answer was broken.
TEST_CASE_FIXTURE(MalformedAnswerFixture,
                  "FrontendProcess, broken answer to a request that runs once, "
                  "fails without a second run") {
  CheckRunsOnce("/x/1");
}

TEST_CASE_FIXTURE(MalformedAnswerFixture,
                  "FrontendProcess, broken answer to a stream, fails without a "
                  "second run") {
  CheckRunsOnce("/s/1");
}

TEST_CASE_FIXTURE(MalformedAnswerFixture,
                  "FrontendProcess, broken answer to a repeatable request, "
                  "client gets the next one") {
  for (const std::string& answer : BrokenAnswers()) {
    CAPTURE(answer);
    Break(answer, 1);
    const Result<HttpResponse> response =
        Ask("POST", "/r/1", "again", milliseconds(3000), "{}");
    REQUIRE(response);
    CHECK(runs == 2);
    CHECK(response.value().status == 200);
    CHECK(response.value().body == kSound);
  }
}

// The same with a worker, which runs the items of batch jobs on the first
// backend server.
struct MalformedItemAnswerFixture : MalformedAnswerFixture {
  std::unique_ptr<WorkerProcess> worker =
      WorkerProcess::Make({.node = "side-1",
                           .zone = "z",
                           .backend_address = first.address(),
                           .store_address = store.address()},
                          1)
          .value();

  ~MalformedItemAnswerFixture() { worker.reset(); }

  // Submits a job of one item and returns its result.
  nlohmann::json RunJob(const std::string& job) {
    const std::string submission =
        R"({"items":[{"id":"item-)" + job +
        R"(","path":"/b/1","body":"e30=","tokens":10}]})";
    CHECK(Call("POST", "/b/1", job, milliseconds(4000), submission) == 202);
    const TimePoint end = BootClock::now() + milliseconds(20000);
    while (BootClock::now() < end) {
      const Result<HttpResponse> response = Ask(
          "GET", "/lots/" + job + "?after=0", "read", milliseconds(4000), "");
      const auto read = nlohmann::json::parse(
          response ? response.value().body : "", nullptr, false);
      if (read.is_object() && read.contains("results") &&
          !read["results"].empty()) {
        return read["results"][0];
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    FAIL("the item was not listed");
    return {};
  }
};

// Guards against texts of broken answers in the results of batch jobs.
TEST_CASE_FIXTURE(MalformedItemAnswerFixture,
                  "WorkerProcess, broken answers to an item, only the sound "
                  "one is listed") {
  int jobs = 0;
  for (const std::string& answer : BrokenAnswers()) {
    CAPTURE(answer);
    Break(answer, 2);
    const nlohmann::json result = RunJob("job-" + std::to_string(++jobs));
    broken_left = 0;
    CHECK(result.value("state", "") == "complete");
    CHECK(result.value("text", "") == "x\ny");
    CHECK(runs >= 3);
  }
}

}  // namespace
}  // namespace carawayrelay
