#include "process/store/intent_thread.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "process/fake_store.h"

namespace carawayrelay {
namespace {

using Fault = FakeStore::Fault;

struct IntentThreadFixture {
  static constexpr const char* kKey = "ws/order-1";
  static constexpr std::chrono::seconds kWaitTimeout{10};

  FakeStore fake_store;
  std::atomic<Fault> fault = Fault::kNone;
  Ring<DispatchEvent> events{16};
  std::unique_ptr<IntentThread> intents = Start();

  std::unique_ptr<IntentThread> Start() {
    fake_store.on_write = [this] { return fault.load(); };
    return std::make_unique<IntentThread>(
        BlockingStoreClient::Make({.base_url = fake_store.url()}).value(),
        [this](DispatchEvent event) { events.Push(std::move(event)); });
  }

  template <class Event>
  Event Record(const std::string& hash) {
    CHECK(intents->TryPush(RecordIntent{.request = RequestId{1},
                                        .workspace = "ws",
                                        .key = "order-1",
                                        .content_hash = hash}));
    std::optional<DispatchEvent> event =
        events.PopUntil(BootClock::now() + kWaitTimeout);
    REQUIRE(event);
    REQUIRE(std::holds_alternative<Event>(*event));
    return std::get<Event>(*event);
  }

  void Complete() {
    CHECK(intents->TryPush(CompleteIntent{
        .workspace = "ws",
        .key = "order-1",
        .response = {
            .http_status = 200, .content_type = "text/plain", .body = "hi"}}));
  }

  bool AwaitState(IntentState state) {
    const TimePoint end = BootClock::now() + kWaitTimeout;
    while (BootClock::now() < end) {
      const auto row = ParseIntentRecord(fake_store.Get("intents", kKey));
      if (row && row.value().state == state) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }
};

// Guards against running a completed request again.
TEST_CASE_FIXTURE(IntentThreadFixture,
                  "IntentThread, completed, resend gets the stored response") {
  Record<IntentRecorded>("a");
  CHECK_FALSE(Record<IntentExists>("a").response.has_value());
  Complete();
  const IntentExists exists = Record<IntentExists>("a");
  REQUIRE(exists.response.has_value());
  CHECK(exists.response->body == "hi");
  CHECK_FALSE(Record<IntentExists>("b").same_content);
}

// Guards against refusing a resend of a request that did not run.
TEST_CASE_FIXTURE(IntentThreadFixture,
                  "IntentThread, released, resend is recorded") {
  Record<IntentRecorded>("a");
  CHECK(intents->TryPush(ReleaseIntent{.workspace = "ws", .key = "order-1"}));
  Record<IntentRecorded>("a");
  CHECK(AwaitState(IntentState::kPending));
}

// Guards against a pending row that blocks its key although the request never
// ran.
TEST_CASE_FIXTURE(IntentThreadFixture,
                  "IntentThread, write of unknown outcome, is released later") {
  fault = Fault::kLoseResponse;
  fake_store.reads_fail = true;
  Record<IntentFailed>("a");
  fault = Fault::kNone;
  fake_store.reads_fail = false;
  CHECK(AwaitState(IntentState::kReleased));
  Record<IntentRecorded>("a");
}

// Guards against losing a response while the store is unavailable.
TEST_CASE_FIXTURE(IntentThreadFixture,
                  "IntentThread, store unavailable, completes afterwards") {
  Record<IntentRecorded>("a");
  fault = Fault::kRefuse;
  Complete();
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  CHECK(AwaitState(IntentState::kPending));
  fault = Fault::kNone;
  CHECK(AwaitState(IntentState::kDone));
}

}  // namespace
}  // namespace carawayrelay
