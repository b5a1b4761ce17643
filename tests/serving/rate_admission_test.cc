#include "process/limits/rate_admission.h"

#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include "property.h"
#include "request/overloaded.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Several frontends whose datagrams take time and may be lost, and a table of
// their rows that each one writes and reads every two seconds in turn.
struct RateFleetFixture : ServingFixture {
  static constexpr milliseconds kReportInterval{2000};
  static constexpr milliseconds kDelay{3};

  struct Frontend {
    std::unique_ptr<RateAdmission> rates;
    bool is_up = true;
    bool has_store = true;
  };
  struct Delivery {
    TimePoint at;
    std::uint64_t order;
    size_t from;
    size_t to;
    RateMessage message;
    bool operator>(const Delivery& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  std::vector<ServingWorkspace> workspaces{
      {.name = "w", .keys = {"k"}, .rate_per_second = 55, .burst = 55}};
  std::vector<Frontend> frontends;
  std::map<std::string, StoredRow> table;
  std::uint64_t version = 0;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network;
  std::uint64_t sent = 0;
  double lost_fraction = 0;
  std::mt19937_64 random{1};
  // Times of admitted requests by workspace.
  std::map<std::string, std::vector<TimePoint>> admitted;
  int refused = 0;
  int unavailable = 0;

  void Reset(int count, std::uint64_t seed) {
    frontends.clear();
    table.clear();
    network = {};
    admitted.clear();
    refused = 0;
    unavailable = 0;
    random.seed(seed);
    for (int i = 0; i < count; ++i) {
      frontends.emplace_back();
      Start(static_cast<size_t>(i));
    }
    for (int round = 0; round < 2; ++round) {
      for (size_t i = 0; i < frontends.size(); ++i) {
        Report(i);
      }
    }
  }
  static std::string NodeOf(size_t i) { return "node-" + std::to_string(i); }
  // Starts a frontend that knows nothing of the time before.
  void Start(size_t i) {
    frontends[i] = {
        .rates = std::make_unique<RateAdmission>(
            NodeOf(i), random(),
            [this, i](const std::string& address, const RateMessage& message) {
              if (std::bernoulli_distribution(lost_fraction)(random)) {
                return;
              }
              network.push({.at = now() + kDelay,
                            .order = ++sent,
                            .from = i,
                            .to = std::stoul(address),
                            .message = message});
            })};
    frontends[i].rates->SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.workspaces = workspaces}));
  }
  void Report(size_t i) {
    if (!frontends[i].is_up || !frontends[i].has_store) {
      return;
    }
    RateAdmission& rates = *frontends[i].rates;
    table[NodeOf(i)] = {.key = {.key = NodeOf(i)},
                        .value = EncodeRateMemberReport(
                            {.address = std::to_string(i),
                             .granted = rates.holder().Granted(now())}),
                        .version = ++version};
    std::vector<StoredRow> all_rows;
    for (const auto& [node, row] : table) {
      all_rows.push_back(row);
    }
    rates.members().Apply(all_rows, now());
  }
  void Request(size_t i, const ServingWorkspace& workspace) {
    frontends[i].rates->Admit(
        workspace, now(), [this, name = workspace.name](const RateVerdict& v) {
          std::visit(
              Overloaded{
                  [&](const RateAdmitted&) { admitted[name].push_back(now()); },
                  [&](const RateExceeded&) { ++refused; },
                  [&](const RateUnavailable&) { ++unavailable; },
              },
              v);
        });
  }
  // Runs everything that is due until `end`, in order.
  void RunUntil(TimePoint end) {
    while (true) {
      TimePoint next = end;
      for (const Frontend& frontend : frontends) {
        if (frontend.is_up) {
          next = std::min(next, frontend.rates->NextTimeout().value_or(end));
        }
      }
      if (!network.empty()) {
        next = std::min(next, network.top().at);
      }
      clock.Set(std::max(now(), next));
      while (!network.empty() && network.top().at <= now()) {
        const Delivery delivery = network.top();
        network.pop();
        if (frontends[delivery.to].is_up) {
          frontends[delivery.to].rates->HandleMessage(
              std::to_string(delivery.from), delivery.message, now());
        }
      }
      for (Frontend& frontend : frontends) {
        if (frontend.is_up) {
          frontend.rates->Tick(now());
        }
      }
      if (next >= end) {
        return;
      }
    }
  }
  // Sends requests of random workspaces at a rate of `per_second` in all for
  // `time` to frontends chosen at random. Returns the number of requests sent.
  int Run(double per_second, milliseconds time) {
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<size_t> pick(0, frontends.size() - 1);
    std::uniform_int_distribution<size_t> pick_workspace(0,
                                                         workspaces.size() - 1);
    const TimePoint end = now() + time;
    const Duration step = kReportInterval / static_cast<int>(frontends.size());
    TimePoint next_request = now();
    TimePoint next_report = now() + step;
    size_t reporter = 0;
    int count = 0;
    while (now() < end) {
      RunUntil(std::min({next_request, next_report, end}));
      if (now() >= next_report) {
        Report(reporter);
        reporter = (reporter + 1) % frontends.size();
        next_report += step;
      }
      if (now() >= next_request && now() < end) {
        if (const size_t i = pick(random); frontends[i].is_up) {
          Request(i, workspaces[pick_workspace(random)]);
          ++count;
        }
        next_request += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(random)));
      }
    }
    return count;
  }
  // Returns the largest number of requests admitted in any window.
  size_t MaxAdmittedInWindow(const std::string& workspace) {
    const std::vector<TimePoint>& times = admitted[workspace];
    size_t worst = 0;
    size_t begin = 0;
    for (size_t end = 0; end < times.size(); ++end) {
      while (times[end] - times[begin] > SlidingWindowCounter::kWindow) {
        ++begin;
      }
      worst = std::max(worst, end - begin + 1);
    }
    return worst;
  }
  static double AllowedInWindow(const ServingWorkspace& workspace) {
    return workspace.rate_per_second * 5 + workspace.burst;
  }
  // What the operators tolerate when frontends fail.
  static double ToleratedInWindow(const ServingWorkspace& workspace) {
    return AllowedInWindow(workspace) * 1.1 + 20;
  }
  ServingWorkspace DrawWorkspace() {
    const int rate = *rc::gen::inRange(2, 120);
    workspaces = {{.name = "w",
                   .keys = {"k"},
                   .rate_per_second = static_cast<double>(rate),
                   .burst = static_cast<double>(rate)}};
    return workspaces[0];
  }
};

// Guards against exceeding the limit while all frontends are up: one holder
// counts all requests, so there is no tolerance here.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, demand over the rate, limit is kept") {
  CheckProperty("rate holds", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(1, 60), *rc::gen::arbitrary<std::uint64_t>());
    const double low_rate = workspace.rate_per_second * 0.5;
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(1, 8);
    Run(low_rate, milliseconds(4000));
    Run(high_rate, milliseconds(6000));
    Run(low_rate, milliseconds(3000));
    Run(high_rate, milliseconds(4000));
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              AllowedInWindow(workspace));
  });
}

// Guards against refusing a workspace that uses all of its rate: it gets what
// it pays for.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, demand over the rate, whole rate is served") {
  const ServingWorkspace workspace = workspaces[0];
  Reset(40, 3);
  Run(4 * workspace.rate_per_second, milliseconds(10000));
  CHECK(static_cast<double>(admitted["w"].size()) >=
        0.95 * workspace.rate_per_second * 10);
}

// Guards against limits that refuse most of what lies inside them when the
// number of frontends is large: the part of each frontend in the rate of a
// small workspace is far below one request. Once 734 of 989 requests were
// refused.
TEST_CASE_FIXTURE(
    RateFleetFixture,
    "RateAdmission, many small workspaces at many frontends, not refused") {
  workspaces.clear();
  for (int i = 0; i < 190; ++i) {
    workspaces.push_back({.name = "w" + std::to_string(i),
                          .keys = {"k" + std::to_string(i)},
                          .rate_per_second = 3,
                          .burst = 3});
  }
  int requests = 0;
  int refused_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Reset(133, seed);
    for (int cycle = 0; cycle < 2; ++cycle) {
      requests += Run(115, milliseconds(3800));
      requests += Run(356, milliseconds(2800));
    }
    refused_in_all += refused;
    CHECK(unavailable == 0);
  }
  CHECK(refused_in_all * 1000 <= requests);
}

// Guards against refused requests when the rate is 1.6 times the peak demand:
// random arrivals exceed a bucket that holds no more than a small burst.
TEST_CASE_FIXTURE(
    RateFleetFixture,
    "RateAdmission, small workspace within its rate, not refused") {
  workspaces[0].rate_per_second = 15;
  workspaces[0].burst = 15;
  const ServingWorkspace workspace = workspaces[0];
  Reset(9, 7);
  int requests = 0;
  for (int cycle = 0; cycle < 60; ++cycle) {
    requests += Run(9.5, milliseconds(2800));
    requests += Run(2, milliseconds(3800));
  }
  CHECK(refused * 1000 <= requests);
}

// Guards against frontends that admit the burst again after a restart. Together
// with a jump of demand at many frontends, this once admitted 252 requests in a
// window that tolerates 251.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, all frontends restart, rate is kept") {
  CheckProperty("rate holds over restarts", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 40), *rc::gen::arbitrary<std::uint64_t>());
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    Run(workspace.rate_per_second * 0.5, milliseconds(4000));
    Run(high_rate, milliseconds(4000));
    for (int restart = 0; restart < 2; ++restart) {
      for (size_t i = 0; i < frontends.size(); ++i) {
        Start(i);
        Report(i);
      }
      Run(high_rate, milliseconds(3000));
    }
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              ToleratedInWindow(workspace));
  });
}

// Guards against two holders that grant the whole rate each while the frontends
// do not agree yet on who left.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, some frontends die, rate is kept") {
  CheckProperty("rate holds when frontends die", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(4, 40), *rc::gen::arbitrary<std::uint64_t>());
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    Run(high_rate, milliseconds(3000));
    const double killed = *rc::gen::element(0.1, 0.3, 0.7);
    for (size_t i = 1; i < frontends.size(); ++i) {
      frontends[i].is_up = !std::bernoulli_distribution(killed)(random);
    }
    Run(high_rate, milliseconds(2000));
    for (size_t i = 0; i < frontends.size(); ++i) {
      if (!frontends[i].is_up) {
        Start(i);
        Report(i);
      }
    }
    Run(high_rate, milliseconds(5000));
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              ToleratedInWindow(workspace));
  });
}

// Guards against two holders of one rate: a frontend that lost the store alone
// goes on to count for itself, while the others take it for gone. Found by the
// soak with seed 1796500007: 91 requests in a window that allows 86.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, frontend loses the store, limit is kept") {
  CheckProperty("limit holds when a frontend loses the store", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 10), *rc::gen::arbitrary<std::uint64_t>());
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    frontends[0].has_store = false;
    Run(high_rate, milliseconds(14000));
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              AllowedInWindow(workspace));
  });
}

// Guards against a frontend that read the rows before the others wrote theirs,
// lost the store then, and takes itself for the holder of all rates. Found by
// the soak with seed 1796500007 beside load: 88 requests in a window that
// allows 86.
TEST_CASE_FIXTURE(
    RateFleetFixture,
    "RateAdmission, store lost right after the start, limit is kept") {
  workspaces.clear();
  for (int i = 0; i < 10; ++i) {
    workspaces.push_back({.name = "w" + std::to_string(i),
                          .keys = {"k" + std::to_string(i)},
                          .rate_per_second = 10,
                          .burst = 10});
  }
  frontends.resize(2);
  Start(0);
  Start(1);
  Report(0);
  frontends[0].has_store = false;
  Report(1);
  Report(1);
  Run(400, milliseconds(8000));
  for (const ServingWorkspace& workspace : workspaces) {
    CAPTURE(workspace.name);
    CHECK(static_cast<double>(MaxAdmittedInWindow(workspace.name)) <=
          AllowedInWindow(workspace));
    CHECK_FALSE(admitted[workspace.name].empty());
  }
}

// Guards against refusing a workspace within its rate because its holder died:
// another frontend takes over at once.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, a third of the frontends die, not refused") {
  workspaces[0].rate_per_second = 10;
  workspaces[0].burst = 10;
  const ServingWorkspace workspace = workspaces[0];
  Reset(30, 11);
  int requests = Run(6, milliseconds(5000));
  for (size_t i = 0; i < 10; ++i) {
    frontends[i].is_up = false;
  }
  requests += Run(6, milliseconds(20000));
  CHECK(unavailable == 0);
  CHECK(refused * 100 <= requests);
}

// Guards against a lost datagram that loses a request, or counts it twice.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, datagrams are lost, all requests decided") {
  const ServingWorkspace workspace = workspaces[0];
  Reset(20, 13);
  lost_fraction = 0.05;
  const int requests =
      Run(workspace.rate_per_second * 0.6, milliseconds(10000));
  lost_fraction = 0;
  RunUntil(now() + milliseconds(1000));
  CHECK(static_cast<int>(admitted["w"].size()) + refused == requests);
  CHECK(refused * 100 <= requests);
}

// Guards against a query that comes again and counts as another request.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateHolder, query comes again, same answer and count") {
  Reset(1, 1);
  RateHolder& holder = frontends[0].rates->holder();
  const RateRequest request{.id = RateRequestId{5}, .workspace = "w"};
  CHECK(holder.Decide(request, now()).outcome == RateOutcome::kGranted);
  CHECK(holder.Decide(request, now()).outcome == RateOutcome::kGranted);
  CHECK(holder.Granted(now()).at("w") == 1);
}

// Guards against requests admitted by a frontend that knows nobody to ask.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, members not read yet, unavailable") {
  frontends.emplace_back();
  Start(0);
  Request(0, workspaces[0]);
  CHECK(unavailable == 1);
}

// Guards against a rate of 0, which means no limit, that refuses all requests.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, workspace without a rate, always admitted") {
  workspaces[0].rate_per_second = 0;
  frontends.emplace_back();
  Start(0);
  Request(0, workspaces[0]);
  CHECK(admitted["w"].size() == 1);
}

// Guards against giving up a frontend that is only slow to report: rows that
// nobody could renew while the store was away say nothing about their owners.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, store away for long, members stay") {
  Reset(5, 1);
  Advance(milliseconds(60000));
  Report(0);
  CHECK(frontends[0].rates->members().size() == 5);
}

// Guards against asking frontends that left for good.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, row unchanged in three reads, member left") {
  Reset(2, 1);
  frontends[1].is_up = false;
  Report(0);  // reads the last change of the other row
  Report(0);
  Report(0);
  CHECK(frontends[0].rates->members().size() == 2);
  Report(0);
  CHECK(frontends[0].rates->members().size() == 1);
}

// Guards against a row of another writer that ends the process or is asked.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, unreadable rows, are not asked") {
  Reset(1, 1);
  for (const char* value :
       {"", "{", "[]", R"({"address":1})", R"({"address":"1","weight":"x"})"}) {
    CAPTURE(value);
    table["other"] = {
        .key = {.key = "other"}, .value = value, .version = ++version};
    Report(0);
    CHECK(frontends[0].rates->members().size() <= 2);
  }
  table["other"].value = R"({"address":"","granted":{"w":"y"}})";
  table["other"].version = ++version;
  Report(0);
  CHECK(frontends[0].rates->members().size() == 1);
}

// Guards against small VMs that hold as many rates as large ones.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateMembers, different weights, hold rates in proportion") {
  RateMembers members("a");
  members.Apply(
      {{.key = {.key = "a"},
        .value = EncodeRateMemberReport({.address = "1", .weight = 0.5}),
        .version = 1},
       {.key = {.key = "b"},
        .value = EncodeRateMemberReport({.address = "2", .weight = 0.1}),
        .version = 2}},
      now());
  int held_by_small = 0;
  constexpr int kWorkspaces = 3000;
  for (int i = 0; i < kWorkspaces; ++i) {
    const auto holder = members.HolderOf("w" + std::to_string(i), now());
    REQUIRE(holder);
    held_by_small += holder->node == "b" ? 1 : 0;
  }
  CHECK(held_by_small > kWorkspaces / 6 * 0.8);
  CHECK(held_by_small < kWorkspaces / 6 * 1.2);
}

}  // namespace
}  // namespace carawayrelay
