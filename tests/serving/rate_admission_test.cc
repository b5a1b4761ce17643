#include "process/limits/rate_admission.h"

#include "serving/rate_fleet_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Guards against exceeding the limit while all frontends are up: one holder
// counts all requests, so there is no tolerance here.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, demand over the rate, limit is kept") {
  CheckProperty("rate holds", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(1, 12), *rc::gen::arbitrary<std::uint64_t>());
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
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Reset(133, seed);
    RunUntil(now() + milliseconds(5000));
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
  Reset(9, 7);
  int requests = 0;
  for (int cycle = 0; cycle < 60; ++cycle) {
    requests += Run(9.5, milliseconds(2800));
    requests += Run(2, milliseconds(3800));
  }
  CHECK(unavailable == 0);
  CHECK(refused * 1000 <= requests);
}

// Guards against frontends that admit the burst again after a restart. Together
// with a jump of demand at many frontends, this once admitted 252 requests in a
// window that tolerates 251.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, all frontends restart, limit is kept") {
  CheckProperty("limit holds over restarts", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 10), *rc::gen::arbitrary<std::uint64_t>());
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    Run(workspace.rate_per_second * 0.5, milliseconds(4000));
    Run(high_rate, milliseconds(4000));
    for (int restart = 0; restart < 2; ++restart) {
      for (size_t i = 0; i < frontends.size(); ++i) {
        Start(i);
      }
      Run(high_rate, milliseconds(3000));
    }
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              AllowedInWindow(workspace));
  });
}

// Guards against a rate that two frontends hold, each with the whole of it: one
// on each side of a cut. Once 446 requests ran in a window that allows 416.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, frontends cut off from each other, limit is "
                  "kept") {
  CheckProperty("limit holds over a cut", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 10), *rc::gen::arbitrary<std::uint64_t>());
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 8);
    Run(high_rate, milliseconds(1000));
    const bool has_store = *rc::gen::arbitrary<bool>();
    for (Frontend& frontend : frontends) {
      frontend.side = std::uniform_int_distribution(0, 1)(random);
      frontend.has_store = has_store || frontend.side == 0;
    }
    Run(high_rate, milliseconds(5000));
    for (Frontend& frontend : frontends) {
      frontend.side = 0;
      frontend.has_store = true;
    }
    Run(high_rate, milliseconds(5000));
    RC_ASSERT(static_cast<double>(MaxAdmittedInWindow("w")) <=
              AllowedInWindow(workspace));
  });
}

// Guards against a side of a cut that serves nothing of a workspace although it
// has a part of its rate.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, half of the frontends cut off, both halves "
                  "serve their part") {
  const ServingWorkspace workspace = workspaces[0];
  Reset(8, 5);
  for (size_t i = 0; i < 4; ++i) {
    frontends[i].side = 1;
  }
  Run(workspace.rate_per_second, milliseconds(3000));
  ForgetRequests();
  for (int side = 0; side < 2; ++side) {
    const size_t before = admitted["w"].size();
    for (int n = 0; n < 100; ++n) {
      Request(static_cast<size_t>(side == 1 ? n % 4 : 4 + n % 4), workspace);
      RunUntil(now() + milliseconds(30));
    }
    CHECK(admitted["w"].size() - before >= 70);
  }
}

// Guards against holders that grant beside each other in any order of failures:
// frontends that are killed and forget what they granted, stand still and wake,
// lose the store or each other, come back, and join.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, failures in any order, limit is kept") {
  CheckProperty("limit holds over failures", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 8), *rc::gen::arbitrary<std::uint64_t>());
    lost_fraction = *rc::gen::element(0.0, 0.05, 0.3);
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    for (int step = 0; step < 8; ++step) {
      Frontend& any = frontends[std::uniform_int_distribution<size_t>(
          0, frontends.size() - 1)(random)];
      const auto index = static_cast<size_t>(&any - frontends.data());
      switch (std::uniform_int_distribution(0, 8)(random)) {
        case 0:
          any.is_up = false;
          break;
        case 1:
          any.is_frozen = true;
          break;
        case 2:
          any.is_frozen = false;
          break;
        case 3:
          Start(index);
          break;
        case 4:
          any.has_store = !any.has_store;
          break;
        case 5:
          any.side = 1 - any.side;
          break;
        case 6:
          if (any.IsRunning()) {
            any.rates->Leave(now());
          }
          break;
        case 7:
          frontends.emplace_back();
          Start(frontends.size() - 1);
          break;
        default:
          for (size_t i = 0; i < frontends.size(); ++i) {
            if (!frontends[i].is_up) {
              Start(i);
            }
            frontends[i].is_frozen = false;
            frontends[i].has_store = true;
            frontends[i].side = 0;
          }
      }
      Run(high_rate,
          milliseconds(std::uniform_int_distribution(100, 2500)(random)));
    }
    // Lost answers come late, so what counts here is when holders grant.
    RC_ASSERT(static_cast<double>(MaxInWindow(granted)) <=
              AllowedInWindow(workspace));
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
  frontends.emplace_back();
  Start(0);
  RunUntil(now() + milliseconds(100));
  frontends[0].has_store = false;
  frontends.emplace_back();
  Start(1);
  RunUntil(now() + milliseconds(5000));
  Run(400, milliseconds(8000));
  for (const ServingWorkspace& workspace : workspaces) {
    CAPTURE(workspace.name);
    CHECK(static_cast<double>(MaxAdmittedInWindow(workspace.name)) <=
          AllowedInWindow(workspace));
    CHECK_FALSE(admitted[workspace.name].empty());
  }
}

// Guards against a rate that stays unused for long after its holder died: the
// others take over as soon as their loans to it are over.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, a quarter of the frontends die, others take "
                  "over") {
  workspaces[0].rate_per_second = 50;
  workspaces[0].burst = 50;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    Reset(28, seed);
    for (size_t i = 0; i < 7; ++i) {
      frontends[i].is_up = false;
    }
    Run(30, milliseconds(2500));
    ForgetRequests();
    const int requests = Run(30, milliseconds(15000));
    CHECK(unavailable == 0);
    CHECK(refused * 100 <= requests);
  }
}

// Guards against requests that are refused around a planned stop of the holder:
// it returns its loans.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, each frontend stops in turn, few refused") {
  Reset(7, 17);
  int requests = 0;
  for (size_t i = 0; i < frontends.size(); ++i) {
    requests += Run(30, milliseconds(2000));
    frontends[i].rates->Leave(now());
    requests += Run(30, milliseconds(3000));
    Start(i);
  }
  CHECK((unavailable + refused) * 50 <= requests);
}

// Guards against rates that are not served while the store is away: nobody can
// report then, but all frontends are up.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, store away for long, rate is served") {
  const ServingWorkspace workspace = workspaces[0];
  Reset(7, 19);
  for (Frontend& frontend : frontends) {
    frontend.has_store = false;
  }
  Run(workspace.rate_per_second * 0.6, milliseconds(60000));
  CHECK(unavailable == 0);
  CHECK(refused == 0);
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
  CHECK(static_cast<int>(admitted["w"].size()) + refused + unavailable ==
        requests);
  CHECK((refused + unavailable) * 100 <= requests);
}

// Guards against clients that come back before a rate is held again and are
// refused a second time.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, all frontends restart, refusal says when to "
                  "come back") {
  workspaces[0].rate_per_second = 20;
  workspaces[0].burst = 20;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Reset(7, seed);
    for (size_t i = 0; i < frontends.size(); ++i) {
      Start(i);
    }
    RunUntil(now() + milliseconds(200));
    ForgetRequests();
    Request(2, workspaces[0]);
    RunUntil(now() + milliseconds(1));
    REQUIRE(unavailable == 1);
    RunUntil(now() + last_retry_after);
    Request(4, workspaces[0]);
    RunUntil(now() + milliseconds(200));
    CHECK(unavailable == 1);
    CHECK(static_cast<int>(admitted["w"].size()) + refused == 1);
  }
}

// Guards against rates that stay unused after all frontends were killed: their
// parts were lent again only after the time of one loan, 1 s here.
TEST_CASE_FIXTURE(
    RateFleetFixture,
    "RateAdmission, all frontends killed and back, rate is in use "
    "within 0.3 s") {
  workspaces[0].rate_per_second = 60;
  workspaces[0].burst = 60;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Reset(28, seed);
    Run(50, milliseconds(3000));
    for (Frontend& frontend : frontends) {
      frontend.is_up = false;
    }
    RunUntil(now() + milliseconds(1000));
    for (size_t i = 0; i < frontends.size(); ++i) {
      Start(i);
    }
    RunUntil(now() + milliseconds(300));
    ForgetRequests();
    Run(30, milliseconds(1000));
    CHECK(unavailable == 0);
    CHECK(admitted["w"].size() >= 20);
  }
}

// Guards against grants beyond the limit when frontends end together and come
// back while some holders live on with loans of their former processes.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, most frontends end at once and return, limit "
                  "is kept") {
  CheckProperty("limit holds over mass failures", [this] {
    const ServingWorkspace workspace = DrawWorkspace();
    Reset(*rc::gen::inRange(2, 10), *rc::gen::arbitrary<std::uint64_t>());
    lost_fraction = *rc::gen::element(0.0, 0.05, 0.3);
    const double high_rate =
        workspace.rate_per_second * *rc::gen::inRange(2, 7);
    Run(high_rate, milliseconds(2000));
    for (int round = 0; round < 4; ++round) {
      std::bernoulli_distribution ends(*rc::gen::element(0.5, 0.8, 1.0));
      std::bernoulli_distribution returns_later(0.3);
      for (size_t i = 0; i < frontends.size(); ++i) {
        if (!ends(random)) {
          frontends[i].is_frozen = !frontends[i].is_frozen && ends(random);
        } else if (returns_later(random)) {
          frontends[i].is_up = false;
        } else {
          Start(i);
        }
      }
      Run(high_rate,
          milliseconds(std::uniform_int_distribution(20, 1500)(random)));
      for (size_t i = 0; i < frontends.size(); ++i) {
        frontends[i].is_frozen = false;
        if (!frontends[i].is_up) {
          Start(i);
        }
      }
      Run(high_rate,
          milliseconds(std::uniform_int_distribution(20, 2500)(random)));
    }
    RC_ASSERT(static_cast<double>(MaxInWindow(granted)) <=
              AllowedInWindow(workspace));
  });
}

// Guards against a second refusal of clients that have no further try: after
// all frontends were killed their requests wait until the rate is held.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, rate not held yet, request waits and is "
                  "admitted") {
  Reset(7, 3);
  for (size_t i = 0; i < frontends.size(); ++i) {
    Start(i);
  }
  ForgetRequests();
  Request(2, workspaces[0], milliseconds(1500));
  Request(3, workspaces[0]);
  RunUntil(now() + milliseconds(1500));
  CHECK(admitted["w"].size() == 1);
  CHECK(unavailable == 1);
}

// Guards against waiting requests that exceed the rate, and against one
// workspace that takes all places in the queue.
TEST_CASE_FIXTURE(RateFleetFixture,
                  "RateAdmission, workspace far over its rate, few requests "
                  "wait and the limit is kept") {
  workspaces[0].rate_per_second = 10;
  workspaces[0].burst = 10;
  workspaces.push_back(
      {.name = "other", .keys = {"k2"}, .rate_per_second = 20, .burst = 20});
  Reset(3, 9);
  for (int n = 0; n < 600; ++n) {
    Request(static_cast<size_t>(n % 3), workspaces[0], milliseconds(1500));
    if (n % 10 == 0) {
      Request(1, workspaces[1], milliseconds(1500));
    }
    RunUntil(now() + milliseconds(10));
  }
  RunUntil(now() + milliseconds(2000));
  CHECK(static_cast<double>(MaxAdmittedInWindow("w")) <=
        AllowedInWindow(workspaces[0]));
  CHECK(admitted["other"].size() == 60);
  CHECK(refused > 300);
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

}  // namespace
}  // namespace carawayrelay
