#include "standins/row_store.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "platform/store_codec.h"

namespace carawayrelay {
namespace {

struct RowStoreFixture {
  RowStore store;

  StoreResponse Send(const StoreRequest& request) {
    const OutboundCall call = platform::EncodeStoreRequest(request);
    RowStore::Answer answer = store.Handle(call.method, call.target, call.body);
    return platform::DecodeStoreResponse(request, answer.status,
                                         std::move(answer.body));
  }
  StoreResponse Write(const std::string& key,
                      const std::string& value,
                      std::uint64_t version) {
    const RowKey row{.table = "t", .key = key};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = row, .version = version});
    transaction.writes.push_back({.key = row, .value = value});
    return Send(transaction);
  }
  StoreResponse Remove(const std::string& key, std::uint64_t version) {
    const RowKey row{.table = "t", .key = key};
    RowsTransaction transaction;
    transaction.expected.push_back({.key = row, .version = version});
    transaction.removals.push_back(row);
    return Send(transaction);
  }
};

// Guards against a store in which two owners of a lease can both write.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, a stale version, leaves the row unchanged") {
  const StoreResponse first = Write("k", "a", 0);
  REQUIRE(first.status == StoreStatus::kDone);
  CHECK(Write("k", "b", 0).status == StoreStatus::kConditionFailed);
  REQUIRE(Write("k", "b", first.version).status == StoreStatus::kDone);
  CHECK(Write("k", "c", first.version).status == StoreStatus::kConditionFailed);
  CHECK(Remove("k", first.version).status == StoreStatus::kConditionFailed);
  CHECK(store.Get("t", "", "k") == "b");
}

// Guards against a version of a removed row that matches its successor.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, a row removed and created, has a new version") {
  const StoreResponse first = Write("k", "a", 0);
  REQUIRE(Remove("k", first.version).status == StoreStatus::kDone);
  CHECK(Write("k", "b", first.version).status == StoreStatus::kConditionFailed);
  const StoreResponse second = Write("k", "a", 0);
  REQUIRE(second.status == StoreStatus::kDone);
  CHECK(second.version > first.version);
}

// Guards against readers that miss chunks of a job at page borders.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, a list in pages, has each row once") {
  for (const char* key : {"a/1", "b/1", "b/2", "b/3", "c/1"}) {
    Write(key, "v", 0);
  }
  const StoreResponse first =
      Send(RowsRead{.table = "t", .from = "b/", .to = "b0", .max_rows = 2});
  REQUIRE(first.rows.size() == 2);
  CHECK(first.has_more);
  CHECK(first.rows[0].key.key == "b/1");
  const StoreResponse second =
      Send(RowsRead{.table = "t",
                    .from = first.rows[1].key.key + '\0',
                    .to = "b0",
                    .max_rows = 2});
  REQUIRE(second.rows.size() == 1);
  CHECK_FALSE(second.has_more);
  CHECK(second.rows[0].key.key == "b/3");
}

// Guards against a late writer that replaces a committed result.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, an object written again, stays as it was") {
  CHECK(Send(ObjectWrite{.name = "o", .data = "a"}).status ==
        StoreStatus::kDone);
  CHECK(Send(ObjectWrite{.name = "o", .data = "b"}).status ==
        StoreStatus::kConditionFailed);
  CHECK(Send(ObjectRead{.name = "o"}).data == "a");
}

}  // namespace
}  // namespace carawayrelay
