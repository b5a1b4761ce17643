#include "process/pace/server_pace.h"

#include "platform/backend_codec.h"
#include "process/pace/candidate_cost.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct LoadHeaderPaceFixture {
  static std::optional<BackendLoad> Read(const std::string& text) {
    return platform::DecodeBackendResponseHead(
               {.status = 200,
                .headers = {{"x-carawayrelay-server-load", text}}})
        .load;
  }
};

// Guards against a fourth figure that is not read, and against backend servers
// without it that are ignored.
TEST_CASE_FIXTURE(LoadHeaderPaceFixture,
                  "Pace header, fourth figure, is the pace in percent") {
  const auto load = Read("3,1,8,170");
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  REQUIRE(load->pace);
  CHECK(*load->pace == doctest::Approx(1.7));
  CHECK(Read("3, 1, 8, 70")->pace.value_or(0) == doctest::Approx(0.7));
  REQUIRE(Read("3,1,8"));
  CHECK_FALSE(Read("3,1,8")->pace);
}

// Guards against figures of a defective or foreign sender that become loads.
TEST_CASE_FIXTURE(LoadHeaderPaceFixture,
                  "Pace header, malformed text, gives no load") {
  for (const char* text : {"",
                           ",",
                           ",,",
                           ",,,",
                           "1",
                           "1,2",
                           "1,2,",
                           "a,b,c",
                           "1,2,8,",
                           "1,2,8,x",
                           "1,2,8,170,5",
                           "1,2,8,170,",
                           "1,2,8,170x",
                           "1,2,8,nan",
                           "1,2,8,inf",
                           "1,2,8,1e3",
                           "1,2,8,0x50",
                           "1,2,8,--5",
                           "1,2,8,1.2.3",
                           "1 2,3,8",
                           "-1,2,8",
                           "1,-2,8",
                           "1,2,-8",
                           "99999999999,0,8",
                           "1,2,9999999999999999",
                           "1.5,2,8",
                           "+1,2,8"}) {
    CAPTURE(text);
    CHECK_FALSE(Read(text));
  }
  CHECK_FALSE(Read(std::string(100000, ',')));
  CHECK_FALSE(Read(std::string(100000, '9')));
  CHECK_FALSE(Read(std::string("1,2,8\0,170", 10)));
}

// Guards against one impossible figure that sends all requests to a backend
// server or none, and against the loss of the counts beside it.
TEST_CASE_FIXTURE(LoadHeaderPaceFixture,
                  "Pace header, pace out of range, gives the load without it") {
  for (const char* text : {"3,1,8,0", "3,1,8,-170", "3,1,8,9", "3,1,8,2001",
                           "3,1,8,99999999999999999999", "3,1,8,0.0001"}) {
    CAPTURE(text);
    REQUIRE(Read(text));
    CHECK(Read(text)->running == 3);
    CHECK_FALSE(Read(text)->pace);
  }
}

struct ServerPaceFixture : ServingFixture {
  ServerPace pace;

  double Now() const { return pace.Estimate(now()).pace; }
};

TEST_CASE_FIXTURE(ServerPaceFixture,
                  "ServerPace, no sample, has the usual pace") {
  CHECK(Now() == 1);
  CHECK(pace.Estimate(now()).deviation == 0);
  CHECK_FALSE(pace.Estimate(now()).age);
}

// Guards against a figure that counts when the pace has long changed.
TEST_CASE_FIXTURE(ServerPaceFixture,
                  "ServerPace, one figure, counts at first and decays to 1") {
  pace.AddFigure(1.7, now());
  CHECK(Now() == doctest::Approx(1.7));
  CHECK(pace.Estimate(now()).age == Duration(0));
  Advance(milliseconds(20));
  const double soon = Now();
  CHECK(soon > 1.4);
  CHECK(soon < 1.7);
  Advance(milliseconds(400));
  CHECK(Now() < 1.4);
  Advance(seconds(8));
  CHECK(Now() == doctest::Approx(1).epsilon(0.01));
  Advance(seconds(60));
  CHECK(Now() == 1);
}

// Guards against a slow server that looks like the others between two figures,
// and against a server that is taken for certain although it varies.
TEST_CASE_FIXTURE(ServerPaceFixture,
                  "ServerPace, many figures, their mean outlasts the newest") {
  for (int i = 0; i < 40; ++i) {
    pace.AddFigure(i % 2 == 0 ? 1.9 : 1.5, now());
    Advance(milliseconds(50));
  }
  CHECK(Now() > 1.5);
  CHECK(pace.RecentMean(now()) == doctest::Approx(1.7).epsilon(0.06));
  const double fresh_deviation = pace.Estimate(now()).deviation;
  Advance(milliseconds(300));
  CHECK(Now() == doctest::Approx(1.65).epsilon(0.06));
  CHECK(pace.Estimate(now()).deviation > fresh_deviation);
}

// Guards against observations that override what the server itself says, and
// against noise of few observations.
TEST_CASE_FIXTURE(ServerPaceFixture,
                  "ServerPace, observations, count only in number and without "
                  "figures") {
  pace.AddObservation(2, now());
  CHECK(Now() == 1);
  for (int i = 0; i < 30; ++i) {
    pace.AddObservation(2, now());
  }
  CHECK(Now() > 1.8);
  pace.AddFigure(0.7, now());
  CHECK(Now() == doctest::Approx(0.7));
  Advance(seconds(120));
  CHECK(Now() == 1);
}

TEST_CASE_FIXTURE(ServerPaceFixture,
                  "ServerPace, observations near the median, are the usual "
                  "pace") {
  for (int i = 0; i < 50; ++i) {
    pace.AddObservation(i % 2 == 0 ? 1.4 : 0.8, now());
  }
  CHECK(Now() == 1);
}

struct CandidateCostPaceFixture : ServingFixture {
  BackendDirectory backends{1};

  std::string Choose() {
    return backends.Choose({.service = "llm", .zone = "zone-1"}, now())
        ->registration.id;
  }
};

// Guards against a selection that ignores the pace of the header, or trusts an
// old one.
TEST_CASE_FIXTURE(CandidateCostPaceFixture,
                  "BackendDirectory, pace figure, selects the faster server "
                  "while it is fresh") {
  backends.Apply({BackendRow("a", "1.1.1.1:1"), BackendRow("b", "1.1.1.2:1")},
                 true, std::nullopt, now());
  backends.NoteLoad(*backends.Find("a"),
                    {.running = 1, .slots = 8, .pace = 1.7}, now());
  backends.NoteLoad(*backends.Find("b"),
                    {.running = 2, .slots = 8, .pace = 0.7}, now());
  for (int i = 0; i < 30; ++i) {
    CHECK(Choose() == "b");
  }
  Advance(seconds(20));
  std::set<std::string> chosen;
  for (int i = 0; i < 50; ++i) {
    chosen.insert(Choose());
  }
  CHECK(chosen.size() == 2);
}

// Guards against a fast server that gets all requests until they wait there.
TEST_CASE_FIXTURE(CandidateCostPaceFixture,
                  "CandidateCost, fast server is full, a slower one with free "
                  "slots costs less") {
  const PaceEstimate fast{.pace = 0.7};
  const PaceEstimate slow{.pace = 1.7};
  CHECK(CandidateCost({.load = 3, .slots = 8, .pace = fast}) <
        CandidateCost({.load = 3, .slots = 8}));
  CHECK(CandidateCost({.load = 3, .slots = 8}) <
        CandidateCost({.load = 3, .slots = 8, .pace = slow}));
  CHECK(CandidateCost({.load = 14, .slots = 8, .pace = fast}) >
        CandidateCost({.load = 1, .slots = 8, .pace = slow}));
  CHECK(CandidateCost(
            {.load = 3, .slots = 8, .pace = {.pace = 1, .deviation = 0.4}}) >
        CandidateCost({.load = 3, .slots = 8}));
}

// The selection before pace figures existed: share of slots in use plus
// penalties.
double CostWithoutPace(const CandidateState& candidate) {
  double cost = candidate.load / candidate.slots;
  if (candidate.is_in_other_zone) {
    cost += 0.03;
  }
  if (candidate.is_cold) {
    cost += 0.5;
  }
  if (candidate.is_avoided) {
    cost += 100;
  }
  return cost;
}

// Guards against a change of the selection for deployments whose backend
// servers send no pace figure.
TEST_CASE_FIXTURE(CandidateCostPaceFixture,
                  "CandidateCost, no pace figures, cost is the one before") {
  std::mt19937_64 random(20261206);
  std::uniform_real_distribution<double> load(0, 40);
  std::uniform_int_distribution<int> slots(1, 32);
  std::bernoulli_distribution flag(0.3);
  for (int i = 0; i < 100000; ++i) {
    const CandidateState candidate{.load = load(random),
                                   .slots = slots(random),
                                   .is_in_other_zone = flag(random),
                                   .is_cold = flag(random),
                                   .is_avoided = flag(random)};
    REQUIRE(CandidateCost(candidate) == CostWithoutPace(candidate));
  }
}

}  // namespace
}  // namespace carawayrelay
