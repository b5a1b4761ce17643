#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "process/forward/backend_directory.h"
#include "process/forward/pace_prober.h"
#include "process/serving/event_loop_clock.h"
#include "process/transport/outbound_calls.h"
#include "request/overloaded.h"

namespace carawayrelay {

// Selection methods that the model compares.
struct LowestCost {};  // of all backend servers, without pace figures
struct RandomSubset {  // lowest cost of some random ones, without pace figures
  size_t size = 2;
};
struct PaceAware {  // lowest cost with pace figures, with or without probes
  bool has_probes = true;
};
using SelectionMethod = std::variant<LowestCost, RandomSubset, PaceAware>;

// Seeded model of many frontends that send streams to many backend servers. A
// backend server runs up to its slots as one batch; each step produces one
// event of each running request, takes longer the more of them run, and
// includes the prefill of the requests that it admits.
class SelectionModel {
 public:
  struct Options {
    std::uint64_t seed = 1;
    SelectionMethod method = LowestCost{};
    // Paces that a backend server has in turn, each for 100 to 400 ms.
    std::vector<double> paces{1};
    // Age that the load and pace in a response have when they arrive.
    std::chrono::milliseconds report_delay{1};
    std::chrono::seconds time{40};
  };
  struct Result {
    int requests = 0;
    double in_time = 0;  // share with the first event within 300 ms
    std::chrono::milliseconds first_event_p95{0};
    // Highest number of running and waiting requests at one backend server.
    int max_load = 0;
  };

  explicit SelectionModel(const Options& options)
      : options_(options), random_(options.seed), servers_(kServers) {
    for (int i = 0; i < kFrontends; ++i) {
      frontends_.push_back(std::make_unique<Frontend>(
          options.seed * 100 + static_cast<std::uint64_t>(i)));
      frontends_.back()->prober.SetHealthPaths({{"llm", "/healthz"}});
      frontends_.back()->clock.Set(kStart);
      frontends_.back()->backends.Apply(Rows(), true, std::nullopt, kStart);
    }
  }

  Result Run() {
    for (milliseconds t{0}; t < options_.time; ++t) {
      now_ = kStart + t;
      for (int i = 0; i < kServers; ++i) {
        Step(i);
      }
      DeliverReports();
      // 1.84 times the mean for 1.5 s of each 6.6 s.
      const bool is_peak = t % milliseconds(6600) < milliseconds(1500);
      const double rate = kRequestsPerSecond * (is_peak ? 1.84 : 0.753);
      const int arrivals = std::poisson_distribution<int>(rate / 1000)(random_);
      for (int i = 0; i < arrivals; ++i) {
        Arrive();
      }
    }
    Result result{.requests = static_cast<int>(first_events_.size()),
                  .max_load = max_load_};
    std::ranges::sort(first_events_);
    const auto in_time = std::ranges::count_if(
        first_events_, [](Duration d) { return d <= milliseconds(300); });
    result.in_time = static_cast<double>(in_time) / result.requests;
    result.first_event_p95 = std::chrono::duration_cast<milliseconds>(
        first_events_[first_events_.size() * 95 / 100]);
    return result;
  }

 private:
  using milliseconds = std::chrono::milliseconds;
  static constexpr int kFrontends = 28;
  static constexpr int kServers = 40;
  static constexpr int kSlots = 8;
  static constexpr int kEvents = 24;
  static constexpr double kRequestsPerSecond = 170;
  static constexpr double kStepMs = 25;
  static constexpr double kStepPerRequestMs = 2.5;
  static constexpr double kPrefillMs = 40;
  static constexpr milliseconds kNetwork{1};
  static constexpr TimePoint kStart{std::chrono::hours(1)};

  struct Frontend {
    explicit Frontend(std::uint64_t seed) : backends(seed) {}

    EventLoopClock clock;
    std::vector<OutboundCall> started;
    OutboundCalls calls{[this](OutboundCall call) {
                          started.push_back(std::move(call));
                          return true;
                        },
                        [](OutboundCallId) {}};
    BackendDirectory backends;
    PaceProber prober{backends, calls, clock};
  };
  struct Stream {
    size_t frontend = 0;
    TimePoint arrived{};
    int events = 0;
  };
  struct Server {
    double pace = 1;
    TimePoint next_pace{};
    std::deque<Stream> waiting;
    std::vector<Stream> running;
    std::optional<TimePoint> step_end;

    int Load() const {
      return static_cast<int>(running.size() + waiting.size());
    }
  };
  struct Report {
    TimePoint at{};
    size_t frontend = 0;
    int server = 0;
    BackendLoad load;
    bool is_end = false;

    bool operator<(const Report& other) const { return at > other.at; }
  };

  static std::string Id(int server) {
    return "s" + std::to_string(100 + server);
  }
  static std::vector<StoredRow> Rows() {
    std::vector<StoredRow> rows;
    for (int i = 0; i < kServers; ++i) {
      rows.push_back(
          {.key = {.table = "servers", .key = Id(i)},
           .value =
               R"({"service":"llm","address":"10.0.0.)" +
               std::to_string(i + 1) +
               R"(:1","zone":"z","version":"v1","capacity":8,"state":"ready","coldLeftMs":0,"sequence":1})",
           .version = 1});
    }
    return rows;
  }

  bool SendsPace() const {
    return std::holds_alternative<PaceAware>(options_.method);
  }
  BackendLoad LoadOf(const Server& server) const {
    BackendLoad load{.running = static_cast<int>(server.running.size()),
                     .waiting = static_cast<int>(server.waiting.size()),
                     .slots = kSlots};
    if (SendsPace()) {
      load.pace = server.pace;
    }
    return load;
  }

  void Step(int index) {
    Server& server = servers_[static_cast<size_t>(index)];
    max_load_ = std::max(max_load_, server.Load());
    if (now_ >= server.next_pace) {
      server.pace = options_.paces[random_() % options_.paces.size()];
      server.next_pace = now_ + milliseconds(100 + random_() % 300);
    }
    if (server.step_end && now_ >= *server.step_end) {
      server.step_end.reset();
      for (Stream& stream : server.running) {
        ++stream.events;
        if (stream.events == 1) {
          first_events_.push_back(now_ + kNetwork - stream.arrived);
        }
        if (stream.events == 1 || stream.events == kEvents) {
          reports_.push(
              {.at = now_ +
                     (stream.events == 1 ? options_.report_delay : kNetwork),
               .frontend = stream.frontend,
               .server = index,
               .load = LoadOf(server),
               .is_end = stream.events == kEvents});
        }
      }
      std::erase_if(server.running,
                    [](const Stream& s) { return s.events >= kEvents; });
    }
    if (server.step_end || server.Load() == 0) {
      return;
    }
    double length = 0;
    while (server.running.size() < kSlots && !server.waiting.empty()) {
      server.running.push_back(server.waiting.front());
      server.waiting.pop_front();
      length += kPrefillMs;
    }
    length += kStepMs +
              kStepPerRequestMs * static_cast<double>(server.running.size());
    server.step_end =
        now_ + std::chrono::microseconds(
                   static_cast<std::int64_t>(length * server.pace * 1000));
  }

  void DeliverReports() {
    while (!reports_.empty() && reports_.top().at <= now_) {
      const Report report = reports_.top();
      reports_.pop();
      BackendDirectory& backends = frontends_[report.frontend]->backends;
      BackendDirectory::Backend& backend = *backends.Find(Id(report.server));
      if (report.is_end) {
        --backend.own_calls;
      } else {
        backends.NoteLoad(backend, report.load, now_);
      }
    }
  }

  // Answers the probes of the frontend from the state of the servers.
  void AnswerProbes(Frontend& frontend) {
    for (const OutboundCall& call : std::exchange(frontend.started, {})) {
      const size_t begin = std::string("10.0.0.").size();
      const int index = std::stoi(call.address.substr(begin)) - 1;
      const Server& server = servers_[static_cast<size_t>(index)];
      CallEvent head = CallHead{
          .id = call.id,
          .status = 200,
          .headers = {
              {"x-carawayrelay-server-load",
               std::to_string(server.running.size()) + "," +
                   std::to_string(server.waiting.size()) + ",8," +
                   std::to_string(static_cast<int>(server.pace * 100))}}};
      frontend.calls.Deliver(head);
      CallEvent end =
          CallEnd{.id = call.id, .is_complete = true, .was_sent = true};
      frontend.calls.Deliver(end);
    }
  }

  void Arrive() {
    const size_t index = random_() % kFrontends;
    Frontend& frontend = *frontends_[index];
    frontend.clock.Set(now_);
    BackendDirectory::Query query{.service = "llm", .zone = "z"};
    std::visit(Overloaded{
                   [](const LowestCost&) {},
                   [&](const RandomSubset& subset) {
                     std::vector<int> all(kServers);
                     std::iota(all.begin(), all.end(), 0);
                     std::shuffle(all.begin(), all.end(), random_);
                     for (size_t i = subset.size; i < all.size(); ++i) {
                       query.excluded.insert(Id(all[i]));
                     }
                   },
                   [&](const PaceAware& method) {
                     if (method.has_probes && frontend.prober.Start(
                                                  query, [] {}, now_)) {
                       AnswerProbes(frontend);
                     }
                   },
               },
               options_.method);
    BackendDirectory::Backend* backend = frontend.backends.Choose(query, now_);
    frontend.backends.NoteSent(*backend, now_);
    const int server = std::stoi(backend->registration.id.substr(1)) - 100;
    // The network delay of the request and of its probes.
    servers_[static_cast<size_t>(server)].waiting.push_back(
        {.frontend = index,
         .arrived = now_ - kNetwork * (SendsPace() ? 3 : 1)});
  }

  Options options_;
  std::mt19937_64 random_;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Frontend>> frontends_;
  std::priority_queue<Report> reports_;
  std::vector<Duration> first_events_;
  int max_load_ = 0;
  TimePoint now_{};
};

}  // namespace carawayrelay
