#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/process.h"
#include "process/fake_store.h"
#include "process/store/poll_backoff.h"
#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kWaitTimeout{10};

struct ConfigWatchFixture {
  FakeStore fake_store;
  Ring<ConfigEvent> events{100};
  std::unique_ptr<ConfigWatch> watch;

  ~ConfigWatchFixture() {
    events.Close();
    watch.reset();
  }

  void Start() {
    auto made = ConfigWatch::Make(
        {.store_client = {.base_url = fake_store.url()},
         .vm_interval = milliseconds(10)},
        [this](ConfigEvent event) { events.Push(std::move(event)); });
    REQUIRE(made);
    watch = std::move(made).value();
  }

  // Returns the next event of this type; others are dropped.
  template <class Event>
  Event Next() {
    const TimePoint deadline = BootClock::now() + kWaitTimeout;
    while (auto event = events.PopUntil(deadline)) {
      if (auto* wanted = std::get_if<Event>(&*event)) {
        return std::move(*wanted);
      }
    }
    FAIL("no event");
    return {};
  }

  static std::string DocumentWithZone(const std::string& zone) {
    ConfigDocument document;
    document.zones_out = {zone};
    return ToJson(document);
  }

  void Offer(std::uint64_t version, const std::string& zone) {
    const std::string text = DocumentWithZone(zone);
    REQUIRE(
        watch->TryAdoptFromPeer(ConfigVersion{version}, Sha256Hex(text), text));
  }

  ConfigState State() {
    return Await<ConfigState>(
        [&](auto callback) { return watch->TryRefresh(std::move(callback)); });
  }

  // Sends a command and waits until its callback is called.
  template <class Response, class SendCommand>
  static Response Await(SendCommand send) {
    const auto promise = std::make_shared<std::promise<Response>>();
    REQUIRE(send([promise](Response response) {
      promise->set_value(std::move(response));
    }));
    auto future = promise->get_future();
    REQUIRE(future.wait_for(kWaitTimeout) == std::future_status::ready);
    return future.get();
  }
};

// Guards against entries that miss a change made through another entry.
TEST_CASE_FIXTURE(ConfigWatchFixture,
                  "ConfigWatch, change by another entry, is adopted") {
  Start();
  const auto client = BlockingStoreClient::Make({.base_url = fake_store.url()});
  ConfigStore(*client.value()).Publish(kNoConfig, DocumentWithZone("a"));
  const TimePoint start = BootClock::now();
  CHECK(Next<ConfigAdopted>().config->IsZoneOut("a"));
  CHECK(BootClock::now() - start < std::chrono::seconds(5));
}

// Guards against adopting an old or damaged version from a peer.
TEST_CASE_FIXTURE(ConfigWatchFixture,
                  "ConfigWatch, versions from peers, adopts only newer ones") {
  Start();
  Offer(5, "five");
  CHECK(Next<ConfigAdopted>().config->IsZoneOut("five"));
  Offer(4, "four");
  watch->TryAdoptFromPeer(ConfigVersion{6}, "wrong hash",
                          DocumentWithZone("six"));
  CHECK(State().config->version() == ConfigVersion{5});
  // The store has an older version, so a write based on that version must not
  // be accepted.
  const auto outcome = Await<PublishOutcome>([&](auto callback) {
    return watch->TryPublish(kNoConfig, DocumentWithZone("a"),
                             std::move(callback));
  });
  REQUIRE(std::holds_alternative<ConfigConflict>(outcome));
  CHECK(std::get<ConfigConflict>(outcome).current == ConfigVersion{5});
}

// Guards against closing all connections because the VM list cannot be read.
TEST_CASE_FIXTURE(ConfigWatchFixture,
                  "ConfigWatch, store unavailable, keeps the VM list") {
  fake_store.PutVm("n1", {{"node", "n1"},
                          {"role", "agent"},
                          {"zone", "z1"},
                          {"address", "127.0.0.1:9"}});
  Start();
  CHECK(Next<VmsChanged>().vms.size() == 1);
  fake_store.reads_fail = true;
  const int reads = fake_store.reads;
  while (fake_store.reads < reads + 2) {
    events.PopUntil(BootClock::now() + milliseconds(100));
  }
  CHECK(State().vms.size() == 1);
}

// Guards against a configuration change that takes effect late after an outage
// (I13).
TEST_CASE_FIXTURE(ConfigWatchFixture,
                  "PollBackoff, outage of any length, delay stays within 2 s") {
  CheckProperty("delay",
                [](const std::vector<bool>& polls, std::uint8_t random) {
                  PollBackoff backoff;
                  const double jitter = random / 256.0;
                  for (const bool succeeded : polls) {
                    const milliseconds delay = backoff.Next(succeeded, jitter);
                    RC_ASSERT(delay >= milliseconds(500));
                    RC_ASSERT(delay <= milliseconds(2000));
                    RC_ASSERT(!succeeded || delay <= milliseconds(1000));
                  }
                });
}

}  // namespace
}  // namespace carawayrelay
