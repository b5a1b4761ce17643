#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "process/health/shared_health.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {

// A seeded model of frontends that send requests to backend servers, and of the
// datagrams between them, which take time and may be lost. Time goes on in
// steps of 10 ms.
struct HealthFleetFixture {
  static constexpr std::chrono::milliseconds kStep{10};

  enum class Server { kSound, kLossy, kGrey, kBroken, kDark };

  struct Frontend {
    std::unique_ptr<BackendDirectory> backends;
    std::unique_ptr<RateMembers> members;
    std::unique_ptr<SharedHealth> health;
    bool has_bad_link = false;
    std::uint64_t bytes = 0;  // sent, with the headers of UDP and IP
    std::uint64_t datagrams = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Tally {
    int requests = 0;
    int failed = 0;    // of the callers
    int attempts = 0;  // that failed
  };

  TimePoint now{std::chrono::hours(1)};
  std::mt19937_64 random{1};
  std::vector<Frontend> frontends;
  std::vector<Server> servers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  // Today's behaviour without it: each frontend knows its own failures only.
  bool is_shared = true;
  double lost_fraction = 0;
  std::chrono::milliseconds max_delay{2};
  double requests_per_second = 0;
  double due_requests = 0;
  Tally tally;
  // Time in ejection over all frontends, by server.
  std::map<size_t, std::chrono::milliseconds> ejected_time;

  static std::string IdOf(size_t server) {
    return "s" + std::to_string(server);
  }

  void Start(size_t frontend_count,
             std::vector<Server> kinds,
             std::uint64_t seed,
             bool shares) {
    now = TimePoint(std::chrono::hours(1));
    random.seed(seed);
    servers = std::move(kinds);
    frontends.clear();
    events = {};
    is_shared = shares;
    tally = {};
    ejected_time.clear();
    due_requests = 0;
    std::vector<StoredRow> server_rows;
    for (size_t i = 0; i < servers.size(); ++i) {
      server_rows.push_back(ServingFixture::BackendRow(
          IdOf(i), "10.0.1." + std::to_string(i) + ":1"));
    }
    std::vector<StoredRow> member_rows;
    for (size_t i = 0; i < frontend_count; ++i) {
      member_rows.push_back(
          {.key = {.table = "rate_parts", .key = "f" + std::to_string(i)},
           .value = EncodeRateMemberReport({.address = std::to_string(i)}),
           .version = 1});
    }
    for (size_t i = 0; i < frontend_count; ++i) {
      Frontend& frontend = frontends.emplace_back();
      const std::string node = "f" + std::to_string(i);
      frontend.backends = std::make_unique<BackendDirectory>(seed * 1000 + i);
      frontend.backends->Apply(server_rows, true, std::nullopt, now);
      frontend.members = std::make_unique<RateMembers>(node);
      frontend.members->Apply(member_rows, 1, now);
      if (shares) {
        frontend.health = std::make_unique<SharedHealth>(
            node, seed * 1000 + i, *frontend.backends, *frontend.members,
            [this, i](const std::string& to, const std::string& bytes) {
              Deliver(i, std::stoul(to), bytes);
            });
        frontend.health->Tick(now);
      }
    }
  }

  void At(TimePoint at, std::function<void()> run) {
    events.push({at, ++order, std::move(run)});
  }

  void Deliver(size_t from, size_t to, const std::string& bytes) {
    constexpr std::uint64_t kOverhead = 28;
    frontends[from].bytes += bytes.size() + kOverhead;
    ++frontends[from].datagrams;
    if (Chance(lost_fraction)) {
      return;
    }
    At(now + std::chrono::milliseconds(Pick(1, max_delay.count())),
       [this, to, bytes] {
         CHECK(frontends[to].health->exchange().Handle(bytes, now));
         frontends[to].health->Tick(now);
       });
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
  }
  std::int64_t Pick(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(random);
  }

  void Run(std::chrono::milliseconds time) {
    const TimePoint end = now + time;
    while (now < end) {
      const TimePoint next = now + kStep;
      while (!events.empty() && events.top().at <= next) {
        const Event event = events.top();
        events.pop();
        now = std::max(now, event.at);
        event.run();
      }
      now = next;
      due_requests +=
          requests_per_second * std::chrono::duration<double>(kStep).count();
      for (; due_requests >= 1; --due_requests) {
        ++tally.requests;
        // Half of the requests may be repeated once.
        const bool is_repeatable = Chance(0.5);
        Send(static_cast<size_t>(
                 Pick(0, static_cast<std::int64_t>(frontends.size()) - 1)),
             is_repeatable, {});
      }
      for (Frontend& frontend : frontends) {
        if (frontend.health) {
          frontend.health->Tick(now);
          CountEjected(frontend);
        }
      }
    }
  }

  void CountEjected(const Frontend& frontend) {
    for (size_t i = 0; i < servers.size(); ++i) {
      if (std::holds_alternative<ServerEjected>(
              frontend.health->detector().Find(IdOf(i)))) {
        ejected_time[i] += kStep;
      }
    }
  }

  // Sends one attempt and repeats it once if that is allowed.
  void Send(size_t index, bool is_repeatable, std::set<std::string> tried) {
    Frontend& frontend = frontends[index];
    BackendDirectory::Backend* backend =
        frontend.backends->Choose({.service = "llm",
                                   .zone = "zone-1",
                                   .excluded = tried,
                                   .is_repeatable = is_repeatable},
                                  now);
    REQUIRE(backend != nullptr);
    frontend.backends->NoteSent(*backend, now);
    const std::string id = backend->registration.id;
    const Server kind = servers[std::stoul(id.substr(1))];
    tried.insert(id);
    const std::chrono::milliseconds duration(Pick(300, 900));
    if (kind == Server::kDark || frontend.has_bad_link) {
      At(now + std::chrono::milliseconds(500), [this, index, id] {
        Frontend& f = frontends[index];
        f.backends->NoteFailure(*f.backends->Find(id), "silent", now);
        if (f.health) {
          f.health->detector().NoteSilence(id, now);
        }
      });
      At(now + std::chrono::milliseconds(700),
         [this, index, id, is_repeatable, tried] {
           End(index, id, false, true, is_repeatable, tried);
         });
      return;
    }
    const std::map<Server, double> failing{{Server::kSound, 0},
                                           {Server::kLossy, 0.05},
                                           {Server::kGrey, 0.4},
                                           {Server::kBroken, 1}};
    const bool fails = Chance(failing.at(kind));
    At(now + (fails ? std::chrono::milliseconds(30) : duration),
       [this, index, id, fails, is_repeatable, tried] {
         End(index, id, !fails, false, is_repeatable, tried);
       });
  }

  void End(size_t index,
           const std::string& id,
           bool is_answered,
           bool was_silent,
           bool is_repeatable,
           const std::set<std::string>& tried) {
    Frontend& frontend = frontends[index];
    BackendDirectory::Backend& backend = *frontend.backends->Find(id);
    --backend.own_calls;
    if (is_answered) {
      frontend.backends->NoteSuccess(backend);
    } else {
      frontend.backends->NoteFailure(backend, "failed", now);
    }
    if (frontend.health) {
      frontend.health->detector().NoteOutcome(
          {.backend_id = id,
           .service = "llm",
           .result =
               is_answered ? AttemptResult::kAnswered : AttemptResult::kFailed,
           .is_repeatable = is_repeatable,
           .was_silent = was_silent,
           .total = std::chrono::milliseconds(500)},
          now);
    }
    if (is_answered) {
      return;
    }
    ++tally.attempts;
    if (is_repeatable && tried.size() < 2) {
      Send(index, is_repeatable, tried);
    } else {
      ++tally.failed;
    }
  }

  // Number of frontends that have ejected the server.
  size_t CountEjectedBy(size_t server) const {
    return static_cast<size_t>(std::count_if(
        frontends.begin(), frontends.end(), [&](const Frontend& frontend) {
          return std::holds_alternative<ServerEjected>(
              frontend.health->detector().Find(IdOf(server)));
        }));
  }
  std::uint64_t CountEjections() const {
    std::uint64_t count = 0;
    for (const Frontend& frontend : frontends) {
      count += frontend.health->detector().counters().ejected;
    }
    return count;
  }
  // Gives each frontend answers of another server to compare with.
  void AnswerSome() {
    for (Frontend& frontend : frontends) {
      for (int i = 0; i < 8; ++i) {
        frontend.health->detector().NoteOutcome(
            {.backend_id = IdOf(servers.size() - 1),
             .result = AttemptResult::kAnswered},
            now);
      }
    }
  }
  void FailOnce(size_t frontend, size_t server) {
    frontends[frontend].health->detector().NoteOutcome(
        {.backend_id = IdOf(server), .result = AttemptResult::kFailed}, now);
  }
};

}  // namespace carawayrelay
