#include "process/limits/allowances.h"

#include <deque>
#include <memory>
#include <random>

#include "property.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr double kWindowSeconds = 5;

// Several frontends that report to one store and read it with a lag.
struct AllowancesFixture : ServingFixture {
  ServingWorkspace workspace{.name = "w",
                             .keys = {"k"},
                             .rate_per_second = 55,
                             .burst = 55};
  std::vector<std::unique_ptr<Allowances>> entries;
  std::map<std::string, StoredRow> reports;
  std::uint64_t version = 0;
  std::vector<TimePoint> admitted;

  void Make(int count) {
    for (int i = 0; i < count; ++i) {
      entries.push_back(
          std::make_unique<Allowances>("node-" + std::to_string(i)));
      Configure(*entries.back());
    }
    for (int round = 0; round < 2; ++round) {
      ReportAll();
    }
  }
  void Configure(Allowances& entry) {
    entry.SetConfig(std::make_shared<ServingConfig>(
                        ServingConfig::Parts{.workspaces = {workspace}}),
                    now());
  }
  void Report(size_t i) {
    const std::string node = "node-" + std::to_string(i);
    reports[node] = {.key = {.key = node},
                     .value = entries[i]->MakeReport(now()),
                     .version = ++version};
    entries[i]->HandleReportStored(now());
    std::vector<StoredRow> all;
    for (const auto& [name, row] : reports) {
      all.push_back(row);
    }
    entries[i]->ApplyReports(all, now());
  }
  void ReportAll() {
    for (size_t i = 0; i < entries.size(); ++i) {
      Report(i);
    }
  }
  bool Ask(size_t i) {
    const bool ok =
        entries[i]->Admit(workspace, now()) == Allowances::Verdict::kAdmitted;
    if (ok) {
      admitted.push_back(now());
    }
    return ok;
  }
  // The most requests admitted in any window.
  size_t WorstWindow() const {
    size_t worst = 0;
    size_t begin = 0;
    for (size_t end = 0; end < admitted.size(); ++end) {
      while (admitted[end] - admitted[begin] >
             std::chrono::duration<double>(kWindowSeconds)) {
        ++begin;
      }
      worst = std::max(worst, end - begin + 1);
    }
    return worst;
  }
  double Bound() const {
    return (workspace.rate_per_second * kWindowSeconds + workspace.burst) *
               1.1 +
           20;
  }
  // Requests at `per_second` for `time`, spread over the entries at random;
  // each entry reports once a second, one after the other. Returns how many
  // were refused.
  int Run(double per_second, milliseconds time, std::mt19937_64& random) {
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<size_t> pick(0, entries.size() - 1);
    const TimePoint end = now() + time;
    const milliseconds step(1000 / static_cast<int>(entries.size()));
    TimePoint next_request = now();
    TimePoint next_report = now() + step;
    size_t reporter = 0;
    int refused = 0;
    while (now() < end) {
      if (next_request <= next_report) {
        clock.Set(next_request);
        refused += Ask(pick(random)) ? 0 : 1;
        next_request += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(random)));
      } else {
        clock.Set(next_report);
        Report(reporter);
        reporter = (reporter + 1) % entries.size();
        next_report += step;
      }
    }
    return refused;
  }
};

// Guards against more than the rate when demand jumps while reports lag.
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, demand jumps at all entries, rate holds") {
  CheckProperty("rate holds", [this] {
    entries.clear();
    reports.clear();
    admitted.clear();
    workspace.rate_per_second = *rc::gen::inRange(4, 80);
    workspace.burst = workspace.rate_per_second;
    Make(*rc::gen::inRange(1, 10));
    std::mt19937_64 random(
        static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    const double calm = workspace.rate_per_second * 0.5;
    const double hot = workspace.rate_per_second * *rc::gen::inRange(1, 8);
    Run(calm, milliseconds(4000), random);
    Run(hot, milliseconds(6000), random);
    Run(calm, milliseconds(3000), random);
    Run(hot, milliseconds(4000), random);
    RC_ASSERT(static_cast<double>(WorstWindow()) <= Bound());
  });
}

// Guards against more than the rate when a crowd comes to many entries at once
// and each admits some of it on credit (telar grown trouble-3, 9.4 s: 252 of
// 251 tolerated, together with the restart of all entries).
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, crowd at many entries, rate holds") {
  CheckProperty("rate holds at many entries", [this] {
    entries.clear();
    reports.clear();
    admitted.clear();
    workspace.rate_per_second = *rc::gen::inRange(4, 80);
    workspace.burst = workspace.rate_per_second;
    Make(*rc::gen::inRange(20, 40));
    std::mt19937_64 random(
        static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    const double calm = workspace.rate_per_second * 0.5;
    const double hot = workspace.rate_per_second * *rc::gen::inRange(2, 7);
    Run(calm, milliseconds(4000), random);
    Run(hot, milliseconds(5000), random);
    RC_ASSERT(static_cast<double>(WorstWindow()) <= Bound());
  });
}

// Guards against a second burst from entries that were restarted.
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, all entries restart under load, rate holds") {
  CheckProperty("rate holds over restarts", [this] {
    entries.clear();
    reports.clear();
    admitted.clear();
    workspace.rate_per_second = *rc::gen::inRange(4, 80);
    workspace.burst = workspace.rate_per_second;
    Make(*rc::gen::inRange(2, 40));
    std::mt19937_64 random(
        static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000)));
    const double hot = workspace.rate_per_second * 2;
    Run(hot, milliseconds(4000), random);
    for (int times = 0; times < 2; ++times) {
      for (size_t i = 0; i < entries.size(); ++i) {
        entries[i] = std::make_unique<Allowances>("node-" + std::to_string(i));
        Configure(*entries[i]);
        Report(i);
      }
      Run(hot, milliseconds(2000), random);
    }
    RC_ASSERT(static_cast<double>(WorstWindow()) <= Bound());
  });
}

// Guards against refusals inside the rate, which is 1.6 times the demand of
// the peaks: a burst that is split over entries
// is less than one request each (skoz quiet-1: 140 of 2,357 refused).
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, small workspace inside its rate, not refused") {
  workspace.rate_per_second = 15;
  workspace.burst = 15;
  Make(9);
  std::mt19937_64 random(7);
  int refused = 0;
  int asked = 0;
  for (int cycle = 0; cycle < 60; ++cycle) {
    refused += Run(9.5, milliseconds(2800), random);
    refused += Run(2, milliseconds(3800), random);
    asked += 34;
  }
  CHECK(refused * 1000 <= asked);
}

// Guards against an entry that admits while nobody can know of it.
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, reports not stored for long, no share") {
  Make(2);
  Advance(milliseconds(2000));
  CHECK(Ask(0));
  Advance(Allowances::kReportExpiry);
  CHECK(entries[0]->Admit(workspace, now()) == Allowances::Verdict::kNoShare);
  CHECK_FALSE(entries[0]->HasShare(now()));
}

// An entry must stop admitting before the others take over its share.
TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, own lapse, ends before others leave it out") {
  CHECK(Allowances::kReportExpiry < Allowances::kMemberExpiry);
}

TEST_CASE_FIXTURE(
    AllowancesFixture,
    "Allowances, dead entry, others get its share after a while") {
  Make(2);
  CHECK(entries[0]->member_count() == 2);
  for (int i = 0; i < 8; ++i) {
    Advance(milliseconds(1000));
    Report(0);
  }
  CHECK(entries[0]->member_count() == 1);
}

TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, new entry before its report, no share") {
  entries.push_back(std::make_unique<Allowances>("node-0"));
  Configure(*entries[0]);
  CHECK(entries[0]->Admit(workspace, now()) == Allowances::Verdict::kNoShare);
}

TEST_CASE_FIXTURE(AllowancesFixture,
                  "Allowances, workspace without a rate, always admitted") {
  workspace.rate_per_second = 0;
  entries.push_back(std::make_unique<Allowances>("node-0"));
  Configure(*entries[0]);
  CHECK(Ask(0));
}

}  // namespace
}  // namespace carawayrelay
