#include "standins/platform_store.h"

#include <doctest/doctest.h>

namespace carawayrelay::tools {
namespace {

struct PlatformStoreFixture {
  PlatformStore store;
};

TEST_CASE_FIXTURE(PlatformStoreFixture,
                  "PlatformStore, a stale ETag, leaves the row unchanged") {
  // Guards against a store in which two owners of a lease can both write.
  const auto first = store.WriteRow("t", "k", "a", MustBeAbsent{});
  REQUIRE(first.has_value());
  CHECK_FALSE(store.WriteRow("t", "k", "b", MustBeAbsent{}).has_value());
  REQUIRE(store.WriteRow("t", "k", "b", MustMatch{*first}).has_value());
  CHECK_FALSE(store.WriteRow("t", "k", "c", MustMatch{*first}).has_value());
  CHECK_FALSE(store.DeleteRow("t", "k", MustMatch{*first}));
  CHECK(store.ReadRow("t", "k")->value == "b");
}

TEST_CASE_FIXTURE(PlatformStoreFixture,
                  "PlatformStore, a row deleted and created, has a new ETag") {
  // Guards against an ETag of a deleted row that matches its successor.
  const auto first = store.WriteRow("t", "k", "a", MustBeAbsent{});
  REQUIRE(store.DeleteRow("t", "k", MustMatch{*first}));
  CHECK_FALSE(store.WriteRow("t", "k", "b", MustMatch{*first}).has_value());
  CHECK(store.WriteRow("t", "k", "a", MustBeAbsent{}) != first);
}

TEST_CASE_FIXTURE(PlatformStoreFixture,
                  "PlatformStore, a list in pages, has each row once") {
  // Guards against readers that miss chunks of a job at page borders.
  for (const char* key : {"a/1", "b/1", "b/2", "b/3", "c/1"}) {
    store.WriteRow("t", key, "v", NoPrecondition{});
  }
  const auto first = store.ListRows("t", "b/", "", 2);
  REQUIRE(first.size() == 2);
  CHECK(first[0].first == "b/1");
  const auto second = store.ListRows("t", "b/", first[1].first, 2);
  REQUIRE(second.size() == 1);
  CHECK(second[0].first == "b/3");
}

TEST_CASE_FIXTURE(PlatformStoreFixture,
                  "PlatformStore, an object with other data, is refused") {
  // Guards against a late writer that replaces a committed result.
  CHECK(store.WriteObject("o", "a") == ObjectWrite::kWritten);
  CHECK(store.WriteObject("o", "a") == ObjectWrite::kSameData);
  CHECK(store.WriteObject("o", "b") == ObjectWrite::kOtherData);
  CHECK(*store.ReadObject("o") == "a");
}

}  // namespace
}  // namespace carawayrelay::tools
