#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <string>

#include "carawayrelay/process.h"
#include "process/fake_store.h"

namespace carawayrelay {
namespace {

using Fault = FakeStore::Fault;

struct BlockingStoreClientFixture {
  FakeStore fake_store;
  std::deque<Fault> faults;  // one for each write, then none
  std::unique_ptr<BlockingStoreClient> client;

  BlockingStoreClientFixture() {
    fake_store.on_write = [this] {
      if (faults.empty()) {
        return Fault::kNone;
      }
      const Fault fault = faults.front();
      faults.pop_front();
      return fault;
    };
    auto made = BlockingStoreClient::Make({.base_url = fake_store.url()});
    REQUIRE(made);
    client = std::move(made).value();
  }
};

// Guards against keys that are altered on their way to the store.
TEST_CASE_FIXTURE(
    BlockingStoreClientFixture,
    "BlockingStoreClient, reserved characters in key, are encoded") {
  const std::string key = "a/b c?%&\xC3\xA9";
  const auto etag = client->CreateRow("t", key, "v1");
  REQUIRE(etag);
  CHECK(fake_store.Get("t", key) == "v1");
  REQUIRE(client->UpdateRow("t", key, "v2", etag.value()));
  const auto rows = client->ListRows("t", "", "", 10);
  REQUIRE(rows);
  REQUIRE(rows.value().size() == 1);
  CHECK(rows.value()[0].key == key);
  CHECK(rows.value()[0].row.value == "v2");
}

// Guards against two writers that both assume that they hold a lease.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, second writer, gets a conflict") {
  const auto etag = client->CreateRow("t", "k", "first");
  REQUIRE(etag);
  CHECK(client->CreateRow("t", "k", "second").error().code ==
        ErrorCode::kConflict);
  REQUIRE(client->UpdateRow("t", "k", "third", etag.value()));
  CHECK(client->UpdateRow("t", "k", "fourth", etag.value()).error().code ==
        ErrorCode::kConflict);
  CHECK(client->DeleteRow("t", "k", etag.value()).error().code ==
        ErrorCode::kConflict);
  CHECK(fake_store.Get("t", "k") == "third");
}

// Guards against reporting a write as failed that took effect. The second write
// uses an open connection again, where libcurl repeats it by itself.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, lost response, reads its write back") {
  faults = {Fault::kLoseResponse, Fault::kNone, Fault::kLoseResponse};
  const auto created = client->CreateRow("t", "k", "v1");
  REQUIRE(created);
  REQUIRE(client->CreateRow("t", "other", "x"));
  const auto updated = client->UpdateRow("t", "k", "v2", created.value());
  REQUIRE(updated);
  CHECK(client->ReadRow("t", "k").value().etag == updated.value());
  faults = {Fault::kLoseResponse};
  CHECK(client->DeleteRow("t", "k", updated.value()));
  faults = {Fault::kLoseResponse};
  CHECK(client->WriteObject("o", "data"));
}

// Guards against reporting a write as done although another writer replaced the
// row first.
TEST_CASE_FIXTURE(
    BlockingStoreClientFixture,
    "BlockingStoreClient, lost response and other write, conflicts") {
  const auto etag = client->CreateRow("t", "k", "v1");
  REQUIRE(etag);
  fake_store.Put("t", "k", "other");
  faults = {Fault::kLoseResponse, Fault::kLoseResponse};
  CHECK(client->UpdateRow("t", "k", "v2", etag.value()).error().code ==
        ErrorCode::kConflict);
}

// Guards against losing a write whose first request did not reach the store.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, request lost once, writes once") {
  faults = {Fault::kDropRequest};
  REQUIRE(client->CreateRow("t", "k", "v1"));
  CHECK(fake_store.Get("t", "k") == "v1");
}

// Guards against reporting a write as not done that may still take effect.
TEST_CASE_FIXTURE(
    BlockingStoreClientFixture,
    "BlockingStoreClient, failed read after lost write, is unknown") {
  faults = std::deque<Fault>(10, Fault::kDropRequest);
  fake_store.reads_fail = true;
  CHECK(client->CreateRow("t", "k", "v1").error().code == ErrorCode::kUnknown);
  fake_store.reads_fail = false;
  CHECK(client->CreateRow("t", "k", "v1").error().code == ErrorCode::kUnknown);
}

// Guards against reporting a write as unknown that was certainly not done.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, refusal or no server, is unavailable") {
  faults = {Fault::kRefuse};
  CHECK(client->CreateRow("t", "k", "v").error().code ==
        ErrorCode::kUnavailable);
  CHECK(client->ReadRow("t", "k").error().code == ErrorCode::kNotFound);
  const auto unreachable =
      BlockingStoreClient::Make({.base_url = "http://127.0.0.1:1"});
  REQUIRE(unreachable);
  CHECK(unreachable.value()->CreateRow("t", "k", "v").error().code ==
        ErrorCode::kUnavailable);
  CHECK(unreachable.value()->ReadRow("t", "k").error().code ==
        ErrorCode::kUnavailable);
  CHECK(
      BlockingStoreClient::Make({.base_url = "http://host:80"}).error().code ==
      ErrorCode::kInvalid);
}

// Guards against replacing the data of an immutable object.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, object with other data, conflicts") {
  REQUIRE(client->WriteObject("config/1", "data"));
  CHECK(client->WriteObject("config/1", "data"));
  CHECK(client->WriteObject("config/1", "other").error().code ==
        ErrorCode::kConflict);
  CHECK(client->ReadObject("config/1").value() == "data");
}

// Guards against using part of a VM list that has a malformed row.
TEST_CASE_FIXTURE(BlockingStoreClientFixture,
                  "BlockingStoreClient, VM list, is read unless malformed") {
  fake_store.PutVm("n1", {{"node", "n1"},
                          {"role", "agent"},
                          {"zone", "z1"},
                          {"address", "127.0.0.1:9"},
                          {"leaving", true}});
  const auto vms = client->ListVms();
  REQUIRE(vms);
  REQUIRE(vms.value().size() == 1);
  CHECK(vms.value()[0].leaving);
  fake_store.PutVm("n1", {{"node", 1}});
  CHECK(client->ListVms().error().code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace carawayrelay
