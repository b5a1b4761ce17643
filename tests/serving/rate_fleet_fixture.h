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

#include "process/limits/rate_admission.h"
#include "process/limits/rate_member_reporter.h"
#include "property.h"
#include "request/overloaded.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {

// Several frontends whose datagrams take time and may be lost, and the rows
// that they write to the store. Frontends can be killed, frozen and cut off
// from the store and from each other.
struct RateFleetFixture : ServingFixture {
  static constexpr std::chrono::milliseconds kDelay{3};
  static constexpr std::chrono::milliseconds kStoreDelay{10};
  // Until all frontends have joined.
  static constexpr std::chrono::milliseconds kJoinTime{5000};

  struct Frontend {
    std::unique_ptr<RateAdmission> rates;
    std::unique_ptr<RateMemberReporter> reporter;
    int starts = 0;
    bool is_up = true;
    bool is_frozen = false;
    bool has_store = true;
    int side = 0;  // frontends on different sides do not reach each other

    bool IsRunning() const { return is_up && !is_frozen; }
  };
  // Something that happens to the frontend `to` at a time.
  struct Delivery {
    TimePoint at;
    std::uint64_t order;
    size_t to;
    int starts;  // it is lost if the frontend has been started again since
    std::function<void()> run;
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
  // Times at which holders granted requests, in order.
  std::vector<TimePoint> granted;
  std::set<RateRequestId> granted_queries;
  int refused = 0;
  int unavailable = 0;
  std::chrono::milliseconds last_retry_after{0};

  // Starts `count` frontends and waits until they share the rates.
  void Reset(int count, std::uint64_t seed) {
    clock.Set(TimePoint(std::chrono::hours(1)));
    frontends.clear();
    table.clear();
    network = {};
    lost_fraction = 0;
    random.seed(seed);
    for (int i = 0; i < count; ++i) {
      frontends.emplace_back();
      Start(static_cast<size_t>(i));
    }
    RunUntil(now() + kJoinTime);
    ForgetRequests();
  }
  void ForgetRequests() {
    admitted.clear();
    granted.clear();
    granted_queries.clear();
    refused = 0;
    unavailable = 0;
  }
  static std::string NodeOf(size_t i) { return "node-" + std::to_string(i); }
  bool AreConnected(size_t a, size_t b) const {
    return frontends[a].side == frontends[b].side;
  }
  void Deliver(size_t to,
               std::chrono::milliseconds delay,
               std::function<void()> run) {
    network.push({.at = now() + delay,
                  .order = ++sent,
                  .to = to,
                  .starts = frontends[to].starts,
                  .run = std::move(run)});
  }
  // Starts a frontend that knows nothing of the time before.
  void Start(size_t i) {
    Frontend& frontend = frontends[i];
    ++frontend.starts;
    frontend.is_up = true;
    frontend.is_frozen = false;
    frontend.rates = std::make_unique<RateAdmission>(
        NodeOf(i), random(),
        [this, i](const std::string& address, const RateMessage& message) {
          Send(i, std::stoul(address), message);
        });
    frontend.rates->SetConfig(std::make_shared<ServingConfig>(
        ServingConfig::Parts{.workspaces = workspaces}));
    frontend.reporter = std::make_unique<RateMemberReporter>(
        RateMemberReporter::Options{.node = NodeOf(i),
                                    .address = std::to_string(i)},
        *frontend.rates,
        [this, i](StoreRequest request, StoreCallback callback) {
          CallStore(i, std::move(request), std::move(callback));
        },
        clock);
  }
  void Send(size_t from, size_t to, const RateMessage& message) {
    const auto* decision = std::get_if<RateDecision>(&message);
    if (decision != nullptr && decision->outcome == RateOutcome::kGranted &&
        granted_queries.insert(decision->id).second) {
      granted.push_back(now());
    }
    if (std::bernoulli_distribution(lost_fraction)(random)) {
      return;
    }
    Deliver(to, kDelay, [this, from, to, message] {
      if (AreConnected(from, to)) {
        frontends[to].rates->HandleMessage(std::to_string(from), message,
                                           now());
      }
    });
  }
  void CallStore(size_t i, StoreRequest request, StoreCallback callback) {
    StoreResponse response{.status = StoreStatus::kRefused};
    if (frontends[i].has_store) {
      response = ExecuteStoreCall(request);
    }
    Deliver(i, kStoreDelay, [callback, response] { callback(response); });
  }
  StoreResponse ExecuteStoreCall(const StoreRequest& request) {
    if (const auto* read = std::get_if<RowsRead>(&request)) {
      StoreResponse response{.status = StoreStatus::kDone, .version = version};
      for (auto it = table.lower_bound(read->from); it != table.end(); ++it) {
        response.rows.push_back(it->second);
      }
      return response;
    }
    const auto& transaction = std::get<RowsTransaction>(request);
    for (const RowsTransaction::Expected& row : transaction.expected) {
      const auto it = table.find(row.key.key);
      if ((it == table.end() ? 0 : it->second.version) != row.version) {
        return {.status = StoreStatus::kConditionFailed, .version = version};
      }
    }
    ++version;
    for (const RowsTransaction::Write& write : transaction.writes) {
      table[write.key.key] = {
          .key = write.key, .value = write.value, .version = version};
    }
    for (const RowKey& key : transaction.removals) {
      table.erase(key.key);
    }
    return {.status = StoreStatus::kDone, .version = version};
  }
  // The request may wait for its rate for `max_wait`.
  void Request(size_t i,
               const ServingWorkspace& workspace,
               std::chrono::milliseconds max_wait = {}) {
    const auto is_local = std::make_shared<bool>(true);
    frontends[i].rates->Admit(
        workspace, now(),
        {.settling_until = now() + max_wait,
         .exceeded_until = now() + max_wait},
        [this, is_local, name = workspace.name](const RateVerdict& v) {
          std::visit(Overloaded{
                         [&](const RateAdmitted&) {
                           admitted[name].push_back(now());
                           if (*is_local) {
                             granted.push_back(now());
                           }
                         },
                         [&](const RateExceeded&) { ++refused; },
                         [&](const RateUnavailable& u) {
                           ++unavailable;
                           last_retry_after = u.retry_after;
                         },
                     },
                     v);
        });
    *is_local = false;
  }
  // Runs everything that is due until `end`, in order.
  void RunUntil(TimePoint end) {
    while (true) {
      TimePoint next = end;
      for (const Frontend& frontend : frontends) {
        if (frontend.IsRunning()) {
          next = std::min(next, frontend.rates->NextTimeout().value_or(end));
        }
      }
      // The event loop wakes at least this often.
      next = std::min(next, now() + std::chrono::milliseconds(100));
      if (!network.empty()) {
        next = std::min(next, network.top().at);
      }
      clock.Set(std::max(now(), next));
      TickAll();
      DeliverDue();
      if (now() >= end) {
        return;
      }
    }
  }
  void TickAll() {
    for (Frontend& frontend : frontends) {
      if (frontend.IsRunning()) {
        frontend.reporter->Tick(now());
        frontend.rates->Tick(now());
      }
    }
  }
  void DeliverDue() {
    while (!network.empty() && network.top().at <= now()) {
      Delivery delivery = network.top();
      network.pop();
      const Frontend& frontend = frontends[delivery.to];
      if (frontend.is_frozen) {
        // It waits in the socket.
        delivery.at = now() + std::chrono::milliseconds(20);
        network.push(std::move(delivery));
      } else if (frontend.is_up && frontend.starts == delivery.starts) {
        delivery.run();
      }
    }
  }
  // Sends requests of random workspaces at a rate of `per_second` in all for
  // `time` to frontends chosen at random. Returns the number of requests sent.
  int Run(double per_second, std::chrono::milliseconds time) {
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<size_t> pick(0, frontends.size() - 1);
    std::uniform_int_distribution<size_t> pick_workspace(0,
                                                         workspaces.size() - 1);
    const TimePoint end = now() + time;
    TimePoint next_request = now();
    int count = 0;
    while (now() < end) {
      RunUntil(std::min(next_request, end));
      if (now() >= next_request && now() < end) {
        if (const size_t i = pick(random); frontends[i].IsRunning()) {
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
    return MaxInWindow(admitted[workspace]);
  }
  static size_t MaxInWindow(const std::vector<TimePoint>& times) {
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
  ServingWorkspace DrawWorkspace() {
    const int rate = *rc::gen::inRange(2, 120);
    workspaces = {{.name = "w",
                   .keys = {"k"},
                   .rate_per_second = static_cast<double>(rate),
                   .burst = static_cast<double>(rate)}};
    return workspaces[0];
  }
};

}  // namespace carawayrelay
