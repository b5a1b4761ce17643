#include "process/store/table_watch.h"

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct TableWatchFixture : ServingFixture {
  TableWatch watch{
      {.table = "t", .parts = {"p0", "p1"}},
      store.sender(),
      clock,
      [this](const std::vector<StoredRow>& changed, bool is_full, TimePoint) {
        if (is_full) {
          seen.clear();
        }
        full_reads += is_full ? 1 : 0;
        for (const StoredRow& row : changed) {
          if (row.is_removed) {
            seen.erase(row.key.key);
          } else {
            seen[row.key.key] = row.value;
          }
        }
      }};
  std::map<std::string, std::string> seen;
  int full_reads = 0;

  void Step() {
    watch.Tick(now());
    RunStore();
    watch.Tick(now());
  }
};

// Guards against missing rows of a part, or changes after the first read.
TEST_CASE_FIXTURE(TableWatchFixture,
                  "TableWatch, several parts, reads all and follows changes") {
  rows.Put("t", "p0", "a", "1");
  rows.Put("t", "p1", "b", "2");
  Step();
  CHECK(seen == std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
  rows.Put("t", "p1", "b", "3");
  rows.Remove("t", "p0", "a");
  Step();
  CHECK(seen == std::map<std::string, std::string>{{"b", "3"}});
  CHECK(full_reads == 1);
}

// Guards against a table that is read from its first row again after each
// failure, and never to its end while calls fail now and then.
TEST_CASE_FIXTURE(TableWatchFixture,
                  "TableWatch, every second call fails, reads the whole "
                  "table") {
  rows.Put("t", "p0", "a", "1");
  rows.Put("t", "p1", "b", "2");
  int calls_made = 0;
  store_fault = [&](const OutboundCall&) {
    return ++calls_made % 2 == 0 ? StoreFault::kRefuse : StoreFault::kNone;
  };
  for (int i = 0; i < 10 && full_reads == 0; ++i) {
    Advance(milliseconds(200));
    Step();
  }
  CHECK(full_reads == 1);
  rows.Put("t", "p0", "a", "3");
  for (int i = 0; i < 10; ++i) {
    Advance(milliseconds(200));
    Step();
  }
  CHECK(seen == std::map<std::string, std::string>{{"a", "3"}, {"b", "2"}});
}

// Guards against missing changes after the store dropped its history.
TEST_CASE_FIXTURE(TableWatchFixture,
                  "TableWatch, history lost, reads the whole table again") {
  rows.Put("t", "p0", "a", "1");
  Step();
  rows.Remove("t", "p0", "a");
  rows.Put("t", "p0", "c", "4");
  rows.ForgetHistory();
  Step();
  Step();
  CHECK(seen == std::map<std::string, std::string>{{"c", "4"}});
  CHECK(full_reads == 2);
}

// Guards against a time that is newer than the state it stands for: a row may
// change between the call and its response.
TEST_CASE_FIXTURE(TableWatchFixture,
                  "TableWatch, slow response, up to date as of the call") {
  Step();
  Advance(milliseconds(700));
  ends_watches = true;
  const TimePoint sent = now() - milliseconds(700);
  RunStore();
  CHECK(watch.up_to_date_at() == sent);
}

// Guards against taking rows for up to date during an outage.
TEST_CASE_FIXTURE(TableWatchFixture,
                  "TableWatch, outage, keeps its time until reconnected") {
  Step();
  const auto up_to_date = watch.up_to_date_at();
  store_fault = [](const OutboundCall&) { return StoreFault::kRefuse; };
  ends_watches = true;
  for (int i = 0; i < 20; ++i) {
    Advance(milliseconds(200));
    Step();
  }
  CHECK(watch.up_to_date_at() == up_to_date);
  CHECK_FALSE(watch.reconnected_at());
  store_fault = nullptr;
  Advance(milliseconds(500));
  Step();
  CHECK(watch.reconnected_at() == now());
  CHECK(watch.up_to_date_at() == now());
}

}  // namespace
}  // namespace carawayrelay
