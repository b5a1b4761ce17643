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
    RowStore::Response response =
        store.Handle(call.method, call.target, call.body);
    return platform::DecodeStoreResponse(request, response.status,
                                         std::move(response.body));
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

// Guards against a store that accepts a write under a stale version. Two owners
// of a lease could both write then.
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

// Guards against a recreated row that gets the version of its removed
// predecessor, so that a stale condition on that version would hold again.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, a row removed and created, has a new version") {
  const StoreResponse first = Write("k", "a", 0);
  REQUIRE(Remove("k", first.version).status == StoreStatus::kDone);
  CHECK(Write("k", "b", first.version).status == StoreStatus::kConditionFailed);
  const StoreResponse second = Write("k", "a", 0);
  REQUIRE(second.status == StoreStatus::kDone);
  CHECK(second.version > first.version);
}

// Guards against pages that skip or repeat rows at their borders, with which
// readers would miss chunks of a job.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, a range read in pages, has each row once") {
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

// Guards against a store that lets a late writer replace a committed result.
TEST_CASE_FIXTURE(
    RowStoreFixture,
    "RowStore, an object written again, keeps its first content") {
  CHECK(Send(ObjectWrite{.name = "o", .data = "a"}).status ==
        StoreStatus::kDone);
  CHECK(Send(ObjectWrite{.name = "o", .data = "b"}).status ==
        StoreStatus::kConditionFailed);
  CHECK(Send(ObjectRead{.name = "o"}).data == "a");
}

// Guards against a stand-in that takes what the store refuses: a transaction of
// over 100 entries once stopped all batch work and no test showed it.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, transactions over a limit, are refused") {
  const auto transaction_of = [](size_t writes, size_t value_bytes) {
    RowsTransaction transaction;
    for (size_t i = 0; i < writes; ++i) {
      transaction.writes.push_back(
          {.key = {.table = "t", .key = "k" + std::to_string(i)},
           .value = std::string(value_bytes, 'x')});
    }
    return transaction;
  };
  CHECK(Send(transaction_of(100, 10)).status == StoreStatus::kDone);
  CHECK(Send(transaction_of(101, 10)).status != StoreStatus::kDone);
  CHECK(Send(transaction_of(20, 37000)).status == StoreStatus::kDone);
  CHECK(Send(transaction_of(30, 37000)).status != StoreStatus::kDone);
  CHECK(Send(transaction_of(1, 49152)).status == StoreStatus::kDone);
  CHECK(Send(transaction_of(1, 49153)).status != StoreStatus::kDone);
  RowsTransaction two_parts = transaction_of(2, 10);
  two_parts.writes[1].key.part = "p";
  CHECK(Send(two_parts).status != StoreStatus::kDone);
  RowsTransaction long_key = transaction_of(1, 10);
  long_key.writes[0].key.key = std::string(201, 'k');
  CHECK(Send(long_key).status != StoreStatus::kDone);
  CHECK(store.refused_transactions() == 5);
}

TEST_CASE_FIXTURE(
    RowStoreFixture,
    "RowStore, rows of operators and servers, cannot be written") {
  for (const char* table : {"op", "servers"}) {
    CAPTURE(table);
    RowsTransaction transaction;
    transaction.writes.push_back({.key = {.table = table, .key = "k"}});
    CHECK(Send(transaction).status != StoreStatus::kDone);
    CHECK(store.Get(table, "", "k").empty());
  }
}

TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, an object over the limit, is refused") {
  const std::string largest(RowStore::kMaxObjectBytes, 'x');
  CHECK(Send(ObjectWrite{.name = "a", .data = largest}).status ==
        StoreStatus::kDone);
  CHECK(Send(ObjectWrite{.name = "b", .data = largest + 'x'}).status !=
        StoreStatus::kDone);
}

// Guards against readers that take a part of a table for all of it.
TEST_CASE_FIXTURE(RowStoreFixture,
                  "RowStore, rows over 1 MB, are read in several calls") {
  for (int i = 0; i < 40; ++i) {
    store.Put("t", "", "k" + std::to_string(i), std::string(30000, 'x'));
  }
  const StoreResponse response = Send(RowsRead{.table = "t"});
  CHECK(response.has_more);
  CHECK(response.rows.size() < 40);
  CHECK(response.rows.size() > 20);
}

}  // namespace
}  // namespace carawayrelay
