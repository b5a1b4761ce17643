#include <doctest/doctest.h>

#include "health/health_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kFrontends = 28;
constexpr size_t kServers = 40;
constexpr double kRequestsPerSecond = 4.0 * kServers;

struct SharedHealthFixture : HealthFleetFixture {
  using Kinds = std::vector<Server>;

  static Kinds With(size_t broken, size_t grey, size_t lossy, size_t dark = 0) {
    Kinds kinds(kServers, Server::kSound);
    auto it = kinds.begin();
    it = std::fill_n(it, broken, Server::kBroken);
    it = std::fill_n(it, grey, Server::kGrey);
    it = std::fill_n(it, lossy, Server::kLossy);
    std::fill_n(it, dark, Server::kDark);
    return kinds;
  }
  void RunLoad(const Kinds& kinds,
               std::uint64_t seed,
               bool shares,
               seconds time = seconds(30)) {
    requests_per_second = kRequestsPerSecond;
    Start(kFrontends, kinds, seed, shares);
    Run(time);
  }
  // Longest mean time in ejection, over the frontends, of a server of a kind.
  milliseconds LongestEjection(Server kind) {
    milliseconds longest{0};
    for (const auto& [server, time] : ejected_time) {
      if (servers[server] == kind) {
        longest = std::max(longest, time / static_cast<int>(kFrontends));
      }
    }
    return longest;
  }
};

// Guards against callers that fail at servers of which other frontends know
// already that they are bad.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, broken, grey and lossy servers, callers fail "
                  "clearly less and no sound server is out for long") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const Kinds kinds = With(4, 6, 20);
    RunLoad(kinds, seed, /*shares=*/false);
    const Tally alone = tally;
    RunLoad(kinds, seed, /*shares=*/true);
    MESSAGE("seed ", seed, ": failed callers ", alone.failed, " alone, ",
            tally.failed, " shared; failed attempts ", alone.attempts, " and ",
            tally.attempts, " of ", tally.requests, "; ejected ms lossy ",
            LongestEjection(Server::kLossy).count(), " sound ",
            LongestEjection(Server::kSound).count());
    CHECK(tally.failed < 0.6 * alone.failed);
    CHECK(LongestEjection(Server::kSound) == milliseconds(0));
    CHECK(LongestEjection(Server::kLossy) < milliseconds(1500));
  }
}

// Guards against a background of lost answers that ejects sound servers.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, half of the servers lose some answers, nobody "
                  "is ejected") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    RunLoad(With(0, 0, 20), seed, /*shares=*/true);
    MESSAGE("seed ", seed, ": ejections ", CountEjections());
    CHECK(CountEjections() == 0);
  }
}

// Guards against one frontend that makes the others give up servers.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, one frontend behind a bad link, nobody else "
                  "ejects") {
  requests_per_second = kRequestsPerSecond;
  Start(kFrontends, With(0, 0, 0), 1, /*shares=*/true);
  Run(seconds(5));
  frontends[7].has_bad_link = true;
  Run(seconds(20));
  for (size_t i = 0; i < kFrontends; ++i) {
    if (i != 7) {
      CHECK(frontends[i].health->detector().counters().ejected == 0);
    }
  }
}

// Guards against a service that is given up because half of it, or all of it,
// is dark.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, half of the servers dark, the others serve") {
  const Kinds kinds = With(0, 0, 0, 20);
  RunLoad(kinds, 1, /*shares=*/false);
  const Tally alone = tally;
  RunLoad(kinds, 1, /*shares=*/true);
  MESSAGE("failed callers ", alone.failed, " alone, ", tally.failed,
          " shared; longest ejection of a sound server ",
          LongestEjection(Server::kSound).count(), " ms");
  CHECK(tally.failed < 0.8 * alone.failed);
  CHECK(LongestEjection(Server::kSound) == milliseconds(0));
}

TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, all servers broken, requests still go out") {
  RunLoad(With(kServers, 0, 0), 1, /*shares=*/true, seconds(10));
  for (const Frontend& frontend : frontends) {
    const OutlierDetector::Counts counts =
        frontend.health->detector().CountStates();
    CHECK(counts.ejected + counts.probing <= 20);
  }
  CHECK(tally.failed >= tally.requests * 0.9);
}

// Guards against news that does not reach all in time.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, two frontends see a dark server, all know "
                  "within 200 ms") {
  Start(kFrontends, With(0, 0, 0, 1), 1, /*shares=*/true);
  Run(seconds(1));
  AnswerSome();
  FailOnce(3, 0);
  FailOnce(9, 0);
  Run(milliseconds(200));
  CHECK(CountEjectedBy(0) == kFrontends);
}

// Guards against a scheme that depends on each datagram.
TEST_CASE_FIXTURE(
    SharedHealthFixture,
    "SharedHealth, datagrams lost and out of order, a dark server "
    "is still ejected") {
  lost_fraction = 0.3;
  max_delay = milliseconds(400);
  requests_per_second = kRequestsPerSecond;
  Start(kFrontends, With(0, 0, 0), 1, /*shares=*/true);
  Run(seconds(5));
  servers[0] = Server::kDark;
  Run(seconds(4));
  size_t know = 0;
  for (const Frontend& frontend : frontends) {
    know += frontend.health->detector().counters().ejected > 0 ? 1 : 0;
  }
  CHECK(know >= kFrontends - 2);
  CHECK(LongestEjection(Server::kSound) == milliseconds(0));
}

// Guards against control traffic while all is well.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, all servers sound, nothing is sent") {
  RunLoad(With(0, 0, 0), 1, /*shares=*/true, seconds(10));
  for (const Frontend& frontend : frontends) {
    CHECK(frontend.datagrams == 0);
  }
}

// Guards against control traffic over 3 KB/s for each node at 300 nodes. Rate
// messages use about 2 KB/s of it.
TEST_CASE_FIXTURE(SharedHealthFixture,
                  "SharedHealth, 300 frontends, news reaches all within the "
                  "byte budget") {
  constexpr size_t kMany = 300;
  Start(kMany, With(0, 0, 0, 1), 1, /*shares=*/true);
  Run(seconds(1));
  AnswerSome();
  FailOnce(3, 0);
  FailOnce(9, 0);
  Run(milliseconds(200));
  MESSAGE("ejected by ", CountEjectedBy(0), " of 300");
  CHECK(CountEjectedBy(0) >= kMany - 3);
  // Many failures at the same time, for ten seconds.
  for (Frontend& frontend : frontends) {
    frontend.bytes = 0;
  }
  servers = With(10, 10, 20);
  requests_per_second = 600;
  constexpr int kSeconds = 10;
  Run(seconds(kSeconds));
  std::uint64_t most = 0;
  for (const Frontend& frontend : frontends) {
    most = std::max(most, frontend.bytes);
  }
  MESSAGE("most bytes per second ", most / kSeconds);
  CHECK(most / kSeconds > 0);
  CHECK(most / kSeconds <= 1100);
}

}  // namespace
}  // namespace carawayrelay
