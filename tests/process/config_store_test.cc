#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "carawayrelay/process.h"
#include "process/fake_store.h"

namespace carawayrelay {
namespace {

using Fault = FakeStore::Fault;

constexpr const char* kTable = "config";
constexpr const char* kPointer = "current";

std::string DocumentWithZone(const std::string& zone) {
  ConfigDocument document;
  document.zones_out = {zone};
  return ToJson(document);
}

struct ConfigStoreFixture {
  FakeStore fake_store;
  std::unique_ptr<BlockingStoreClient> client =
      BlockingStoreClient::Make({.base_url = fake_store.url()}).value();
  ConfigStore store{*client};

  std::uint64_t PublishedVersion(const PublishOutcome& outcome) {
    const auto* published = std::get_if<ConfigPublished>(&outcome);
    return published == nullptr ? 0 : ToInt(published->config->version());
  }

  // Lets the n-th write from now fail, counted from 1.
  void FailWrite(int n, Fault fault) {
    auto count = std::make_shared<int>(0);
    fake_store.on_write = [n, fault, count] {
      return ++*count == n ? fault : Fault::kNone;
    };
  }
};

// Guards against readers that miss a published version.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, published document, can be read") {
  CHECK(store.ReadNewer(kNoConfig).value() == nullptr);
  CHECK(PublishedVersion(store.Publish(kNoConfig, DocumentWithZone("a"))) == 1);
  CHECK(PublishedVersion(
            store.Publish(ConfigVersion{1}, DocumentWithZone("b"))) == 2);
  const auto config = store.ReadNewer(ConfigVersion{1});
  REQUIRE(config);
  REQUIRE(config.value() != nullptr);
  CHECK(config.value()->IsZoneOut("b"));
  CHECK(store.ReadNewer(ConfigVersion{2}).value() == nullptr);
}

// Guards against a publisher that overwrites another operator's change without
// a conflict.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, racing publishers, one wins each version") {
  constexpr int kPublishers = 4;
  constexpr int kVersions = 5;
  std::atomic<int> wins = 0;
  std::atomic<int> conflicts = 0;
  std::vector<std::thread> publishers;
  for (int i = 0; i < kPublishers; ++i) {
    publishers.emplace_back([&, i] {
      const auto own =
          BlockingStoreClient::Make({.base_url = fake_store.url()});
      ConfigStore own_store(*own.value());
      for (std::uint64_t based_on = 0; based_on < kVersions;) {
        const PublishOutcome outcome = own_store.Publish(
            ConfigVersion{based_on}, DocumentWithZone("z" + std::to_string(i)));
        if (PublishedVersion(outcome) != 0) {
          ++wins;
          ++based_on;
        } else if (const auto* lost = std::get_if<ConfigConflict>(&outcome)) {
          ++conflicts;
          CHECK(ToInt(lost->current) > based_on);
          based_on = ToInt(lost->current);
        } else {
          // Two other publishers wrote between the read and the write.
          ++conflicts;
          ++based_on;
        }
      }
    });
  }
  for (std::thread& publisher : publishers) {
    publisher.join();
  }
  CHECK(wins == kVersions);
  CHECK(conflicts > 0);
}

// Guards against reporting a change as failed that is in effect, which the
// operator would then repeat.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, lost responses, publish succeeds") {
  FailWrite(1, Fault::kLoseResponse);  // write of the object
  CHECK(PublishedVersion(store.Publish(kNoConfig, DocumentWithZone("a"))) == 1);
  FailWrite(2, Fault::kLoseResponse);  // write of the row
  CHECK(PublishedVersion(
            store.Publish(ConfigVersion{1}, DocumentWithZone("b"))) == 2);
}

// Guards against reporting a write as refused that is in effect.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, store lost during publish, is unknown") {
  int writes = 0;
  fake_store.on_write = [&] {
    if (++writes == 1) {
      return Fault::kNone;
    }
    fake_store.reads_fail = true;
    return Fault::kLoseResponse;
  };
  const PublishOutcome outcome =
      store.Publish(kNoConfig, DocumentWithZone("a"));
  REQUIRE(std::holds_alternative<ConfigFailed>(outcome));
  CHECK(std::get<ConfigFailed>(outcome).error.code == ErrorCode::kUnknown);
  CHECK_FALSE(fake_store.Get(kTable, kPointer).empty());
}

// Guards against reporting a refused write as one that may be in effect.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, store refuses writes, is unavailable") {
  fake_store.on_write = [] { return Fault::kRefuse; };
  const PublishOutcome outcome =
      store.Publish(kNoConfig, DocumentWithZone("a"));
  REQUIRE(std::holds_alternative<ConfigFailed>(outcome));
  CHECK(std::get<ConfigFailed>(outcome).error.code == ErrorCode::kUnavailable);
}

// Guards against adopting a document that is not the published one.
TEST_CASE_FIXTURE(ConfigStoreFixture,
                  "ConfigStore, damaged row or object, read fails") {
  store.Publish(kNoConfig, DocumentWithZone("a"));
  const auto pointer = nlohmann::json::parse(fake_store.Get(kTable, kPointer));
  fake_store.PutObject(pointer["object"].get<std::string>(),
                       DocumentWithZone("b"));
  CHECK(store.ReadNewer(kNoConfig).error().code == ErrorCode::kInvalid);
  fake_store.Put(kTable, kPointer, "{}");
  CHECK(store.ReadNewer(kNoConfig).error().code == ErrorCode::kInvalid);
}

}  // namespace
}  // namespace carawayrelay
