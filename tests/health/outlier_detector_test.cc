#include "process/health/outlier_detector.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct OutlierDetectorFixture {
  TimePoint now{std::chrono::hours(1)};
  OutlierDetector detector{1};
  std::map<std::string, std::uint64_t> sequences;

  static ServerKey KeyOf(size_t i) { return ServerKey{1000 + i}; }
  static std::string IdOf(size_t i) { return "s" + std::to_string(i); }

  void SetServers(size_t count) {
    std::vector<OutlierDetector::Server> servers;
    for (size_t i = 0; i < count; ++i) {
      servers.push_back({.id = IdOf(i), .service = "llm", .key = KeyOf(i)});
    }
    detector.SetServers(servers, now);
    detector.SetPeers(27);
    // Answers to compare failures with.
    for (int i = 0; i < 8 && count > 0; ++i) {
      Own(count - 1, AttemptResult::kAnswered);
    }
  }
  void Advance(milliseconds time) {
    constexpr milliseconds kStep{100};
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now += kStep;
      detector.Tick(now);
    }
  }
  void Own(size_t server, AttemptResult result, std::uint64_t events = 0) {
    detector.NoteOutcome({.backend_id = IdOf(server),
                          .service = "llm",
                          .result = result,
                          .events = events,
                          .total = milliseconds(800)},
                         now);
  }
  void Report(const std::string& reporter,
              const std::vector<size_t>& servers,
              int failures = 1,
              int answers = 0) {
    HealthReport report{
        .reporter = reporter, .process = 1, .sequence = ++sequences[reporter]};
    for (const size_t server : servers) {
      report.servers.push_back(
          {.server = KeyOf(server), .answers = answers, .failures = failures});
    }
    detector.Apply(report, now);
    now += milliseconds(20);
    detector.Tick(now);
  }
  bool IsEjected(size_t server) const {
    return std::holds_alternative<ServerEjected>(detector.Find(IdOf(server)));
  }
  bool IsInUse(size_t server) const {
    return std::holds_alternative<ServerInUse>(detector.Find(IdOf(server)));
  }
  double Weight(size_t server) const {
    const ServerHealth health = detector.Find(IdOf(server));
    const auto* reduced = std::get_if<ServerReduced>(&health);
    return reduced != nullptr ? reduced->weight : 1;
  }
};

// Guards against requests to a dark server by frontends that have not tried it
// yet, and against an ejection because of one frontend's bad link.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, two reporters of a dark server, is ejected "
                  "at once; one, is not") {
  SetServers(10);
  Report("f1", {3}, 9);
  CHECK(IsInUse(3));
  Report("f2", {3});
  CHECK(IsEjected(3));
  CHECK(detector.CountStates().ejected == 1);
  CHECK(detector.counters().ejected == 1);
}

TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, one reporter and own failure, is ejected") {
  SetServers(10);
  Own(3, AttemptResult::kFailed);
  Advance(milliseconds(100));
  CHECK(IsInUse(3));
  Report("f1", {3});
  CHECK(IsEjected(3));
}

// Guards against ejections soon after a start, when nothing is known of the
// other servers.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, no answers to compare with, needs three "
                  "failures") {
  detector.SetServers({{.id = IdOf(0), .service = "llm", .key = KeyOf(0)},
                       {.id = IdOf(1), .service = "llm", .key = KeyOf(1)}},
                      now);
  detector.SetPeers(27);
  Report("f1", {0});
  Report("f2", {0});
  CHECK(IsInUse(0));
  Report("f3", {0});
  CHECK(IsEjected(0));
}

// Guards against ejections for what clients do: they go away, set short time
// limits, or compete for slots.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, declines and cancellations, are not "
                  "failures") {
  SetServers(4);
  for (int i = 0; i < 20; ++i) {
    Own(0, AttemptResult::kDeclined);
    Own(1, AttemptResult::kCancelled);
    Own(2, AttemptResult::kTimedOut, /*events=*/3);
    Advance(milliseconds(100));
  }
  CHECK(detector.EvidenceToReport(now).empty());
  detector.NoteOutcome({.backend_id = IdOf(0),
                        .result = AttemptResult::kTimedOut,
                        .total = milliseconds(100)},
                       now);
  CHECK(detector.EvidenceToReport(now).empty());
  Own(3, AttemptResult::kTimedOut, /*events=*/0);
  CHECK(detector.EvidenceToReport(now).size() == 1);
}

// Guards against a silent attempt that counts twice: when it becomes silent and
// when it ends.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, silent attempt that fails, counts once") {
  SetServers(4);
  detector.NoteSilence(IdOf(0), now);
  detector.NoteOutcome({.backend_id = IdOf(0),
                        .result = AttemptResult::kFailed,
                        .was_silent = true,
                        .total = milliseconds(700)},
                       now);
  REQUIRE(detector.EvidenceToReport(now).size() == 1);
  CHECK(detector.EvidenceToReport(now)[0].failures == 1);
}

// Guards against an ejection by a frontend whose link is bad: it accuses all
// servers, and each of the others may see one failure for another reason.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, reporter accuses many servers, does not "
                  "count") {
  SetServers(40);
  std::vector<size_t> all(40);
  std::iota(all.begin(), all.end(), 0);
  Report("bad", all);
  CHECK(detector.CountStates().distrusted == 1);
  for (size_t i = 0; i < 40; ++i) {
    Own(i, AttemptResult::kAnswered);
  }
  Advance(milliseconds(100));
  Own(5, AttemptResult::kFailed);
  Advance(milliseconds(100));
  Report("f2", {7});
  Report("bad", all);
  Advance(milliseconds(100));
  CHECK(detector.CountStates().ejected == 0);
  CHECK(IsInUse(5));
  CHECK(IsInUse(7));
}

// Guards against a frontend with a bad link that disturbs the others.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, own failures at many servers, reports "
                  "nothing") {
  SetServers(40);
  for (size_t i = 0; i < 5; ++i) {
    Own(i, AttemptResult::kFailed);
  }
  Advance(milliseconds(100));
  CHECK(detector.EvidenceToReport(now).size() == 5);
  for (size_t i = 5; i < 20; ++i) {
    Own(i, AttemptResult::kFailed);
  }
  Advance(milliseconds(100));
  CHECK(detector.EvidenceToReport(now).empty());
  CHECK(detector.CountStates().ejected == 0);
}

// Guards against a service without servers: when all look bad, half stay.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, all servers fail, half of them stay in "
                  "use") {
  SetServers(9);
  for (int round = 0; round < 5; ++round) {
    for (const char* reporter : {"f1", "f2", "f3"}) {
      Report(reporter, {0, 1, 2, 3, 4, 5, 6, 7, 8});
    }
    Advance(milliseconds(200));
  }
  // The reporters agree with more than half of the frontends only.
  CHECK(detector.CountStates().ejected == 0);
  detector.SetPeers(3);
  Report("f1", {0, 1, 2, 3, 4, 5, 6, 7, 8});
  Advance(milliseconds(100));
  CHECK(detector.CountStates().ejected == 4);
  CHECK(detector.counters().panics > 0);
}

// Guards against a grey server that gets all or none of its requests.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, server fails a part, gets a part") {
  SetServers(10);
  for (int i = 0; i < 20; ++i) {
    for (size_t server = 0; server < 10; ++server) {
      const bool fails = server == 2 && i % 5 < 2;
      Own(server, fails ? AttemptResult::kFailed : AttemptResult::kAnswered);
    }
    Advance(milliseconds(200));
  }
  Report("f1", {2}, 4, 6);
  Advance(milliseconds(100));
  CHECK(Weight(2) < 0.5);
  CHECK(Weight(2) > 0.1);
  CHECK(IsInUse(1));
}

// Guards against a server that stays out after it has recovered, and against
// one that comes back at full time after each short recovery.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, ejection over, is probed, and returns or "
                  "is ejected for longer") {
  SetServers(10);
  Report("f1", {3});
  Report("f2", {3});
  REQUIRE(IsEjected(3));
  Advance(milliseconds(1000));
  CHECK(IsEjected(3));
  Advance(milliseconds(550));
  CHECK(std::holds_alternative<ServerProbing>(detector.Find(IdOf(3))));
  // Two failed probes eject again, one does not.
  Own(3, AttemptResult::kFailed);
  Advance(milliseconds(100));
  CHECK(std::holds_alternative<ServerProbing>(detector.Find(IdOf(3))));
  Report("f1", {3});
  REQUIRE(IsEjected(3));
  Advance(milliseconds(1900));
  CHECK(IsEjected(3));
  Advance(milliseconds(1200));
  CHECK(std::holds_alternative<ServerProbing>(detector.Find(IdOf(3))));
  Own(3, AttemptResult::kAnswered);
  Advance(milliseconds(100));
  CHECK(IsInUse(3));
  CHECK(detector.counters().returned == 1);
}

// Guards against ejections of more than a few seconds, and against a server
// that nobody probes and that stays out.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, many ejections, time is limited") {
  SetServers(10);
  for (int i = 0; i < 8; ++i) {
    Report("f1", {3});
    Report("f2", {3});
    CHECK(IsEjected(3));
    Advance(milliseconds(6050));
    CHECK_FALSE(IsEjected(3));
  }
  Advance(milliseconds(16000));
  CHECK(IsInUse(3));
}

// Guards against a new process that suffers for the one before.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, server started again, is clean") {
  SetServers(10);
  Report("f1", {3});
  Report("f2", {3});
  REQUIRE(IsEjected(3));
  std::vector<OutlierDetector::Server> servers;
  for (size_t i = 0; i < 10; ++i) {
    servers.push_back({.id = IdOf(i),
                       .service = "llm",
                       .key = i == 3 ? ServerKey{1} : KeyOf(i)});
  }
  detector.SetServers(servers, now);
  Advance(milliseconds(100));
  CHECK(IsInUse(3));
  Report("f4", {3});  // about the earlier process
  CHECK(IsInUse(3));
}

// Guards against old reports: a late datagram undoes or repeats a newer one.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, report out of order or repeated, is "
                  "ignored") {
  SetServers(10);
  HealthReport report{.reporter = "f1", .process = 1, .sequence = 5};
  report.servers = {{.server = KeyOf(3), .failures = 1}};
  CHECK(detector.Apply(report, now));
  CHECK_FALSE(detector.Apply(report, now));
  report.sequence = 4;
  CHECK_FALSE(detector.Apply(report, now));
  report.process = 2;  // restarted
  CHECK(detector.Apply(report, now));
}

// Guards against failures that were over long ago.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, evidence older than the window, is "
                  "forgotten") {
  SetServers(10);
  Report("f1", {3});
  Own(3, AttemptResult::kFailed);
  detector.SetServers({}, now);
  SetServers(10);
  Report("f1", {3});
  Advance(milliseconds(11000));
  Report("f2", {3});
  CHECK(IsInUse(3));
  CHECK(detector.EvidenceToReport(now).empty());
}

// Guards against a service without servers, whatever others report.
TEST_CASE_FIXTURE(OutlierDetectorFixture,
                  "OutlierDetector, any reports, at most half is out") {
  CheckProperty("half of the service stays in use", [](std::uint32_t seed) {
    std::mt19937_64 random(seed);
    OutlierDetectorFixture fixture;
    const auto pick = [&](size_t n) {
      return std::uniform_int_distribution<size_t>(0, n - 1)(random);
    };
    size_t servers = 1 + pick(12);
    fixture.SetServers(servers);
    fixture.detector.SetPeers(pick(6));
    for (int step = 0; step < 150; ++step) {
      const size_t server = pick(servers);
      switch (pick(6)) {
        case 0:
          fixture.Own(server, AttemptResult::kAnswered);
          break;
        case 1:
          fixture.Own(server, AttemptResult::kFailed);
          break;
        case 2:
        case 3: {
          std::vector<size_t> accused;
          for (size_t i = 0; i < servers; ++i) {
            if (pick(2) == 0) {
              accused.push_back(i);
            }
          }
          fixture.Report("f" + std::to_string(pick(4)), accused,
                         static_cast<int>(pick(20)), static_cast<int>(pick(3)));
          break;
        }
        case 4:
          fixture.Advance(milliseconds(50 + 100 * pick(20)));
          break;
        default:
          if (pick(10) == 0) {
            servers = 1 + pick(12);
            fixture.SetServers(servers);
          }
      }
      const OutlierDetector::Counts counts = fixture.detector.CountStates();
      RC_ASSERT(static_cast<size_t>(counts.ejected + counts.probing) <=
                servers / 2);
    }
  });
}

}  // namespace
}  // namespace carawayrelay
