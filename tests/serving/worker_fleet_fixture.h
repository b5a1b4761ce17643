#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/jobs/item_worker.h"
#include "process/quarantine/crash_report_exchange.h"
#include "process/quarantine/prompt_trials.h"
#include "serving/job_fixture.h"

namespace carawayrelay {

// Workers with a backend server each that run the jobs of one frontend, and a
// store whose objects pass over one link that all transfers share in equal
// parts. A transfer over its timeout is lost.
struct WorkerFleetFixture : JobFixture {
  static constexpr std::chrono::milliseconds kStep{20};
  static constexpr double kLinkBytesPerSecond = 80e6;

  // Workers start no runs while their watch of the jobs is old, so watch calls
  // get responses without changes too.
  WorkerFleetFixture() {
    ends_watches = true;
    deliver_to_owner = [this](CallEvent& event) {
      return DeliverToWorker(event);
    };
  }

  // The ids of the calls of all workers differ: each worker counts its own.
  static constexpr std::uint64_t kCallsOfWorker = 1'000'000'000;
  static OutboundCallId FleetCallId(int number, OutboundCallId id) {
    return OutboundCallId{static_cast<std::uint64_t>(number) * kCallsOfWorker +
                          static_cast<std::uint64_t>(id)};
  }
  // Returns the number of the worker that began the call, or 0.
  static int OwnerOf(OutboundCallId id) {
    return static_cast<int>(static_cast<std::uint64_t>(id) / kCallsOfWorker);
  }

  // What a worker process consists of, without threads.
  struct Worker {
    Worker(WorkerFleetFixture& fixture, int number)
        : worker_number(number),
          address("10.0.1." + std::to_string(number) + ":80"),
          calls(
              [&fixture, number](OutboundCall call) {
                call.id = FleetCallId(number, call.id);
                fixture.started.push_back(std::move(call));
                return true;
              },
              [&fixture, number](OutboundCallId id) {
                fixture.RemovePendingCall(FleetCallId(number, id));
              }),
          store(kStoreAddress, calls, fixture.clock),
          writer(jobs, store.sender(), fixture.clock),
          transfers({.seed = static_cast<std::uint64_t>(number)},
                    store.sender(),
                    fixture.clock),
          crash_reports("side-" + std::to_string(number),
                        quarantine,
                        store,
                        fixture.clock),
          trials("side-" + std::to_string(number),
                 quarantine,
                 store,
                 fixture.clock),
          watch({.table = job_rows::kStates,
                 .parts = job_rows::Parts(),
                 .wait = std::chrono::milliseconds(1000),
                 .min_interval = std::chrono::milliseconds(400)},
                store.sender(),
                fixture.clock,
                [this](const std::vector<StoredRow>& rows,
                       bool is_full,
                       TimePoint) { jobs.Apply(rows, is_full); }),
          worker({.node = "side-" + std::to_string(number),
                  .backend_address = address,
                  .seed = static_cast<std::uint64_t>(number)},
                 jobs,
                 writer,
                 store,
                 transfers,
                 backends,
                 quarantine,
                 trials,
                 calls,
                 fixture.clock) {
      backends.Apply({BackendRow("server-" + std::to_string(number), address)},
                     true, std::nullopt, fixture.now());
      worker.SetConfig(std::make_shared<ServingConfig>(
          ServingConfig::Parts{.routes = {fixture.route}}));
    }

    void Tick(TimePoint now) {
      watch.Tick(now);
      jobs.SetUpToDateAt(watch.up_to_date_at());
      crash_reports.Tick(now);
      worker.Tick(now);
      writer.Tick(now);
      transfers.Tick(now);
    }

    const int worker_number;
    const std::string address;
    OutboundCalls calls;
    StoreClient store;
    JobTable jobs;
    JobWriter writer;
    StoreTransferQueue transfers;
    BackendDirectory backends{1};
    PromptQuarantine quarantine;
    CrashReportExchange crash_reports;
    PromptTrials trials;
    TableWatch watch;
    ItemWorker worker;
  };

  void AddWorkers(int count) {
    const int first = static_cast<int>(workers.size()) + 1;
    for (int number = first; number < first + count; ++number) {
      workers.push_back(std::make_unique<Worker>(*this, number));
    }
  }
  void RunFor(std::chrono::milliseconds time) {
    is_held = [](const OutboundCall& call) {
      return call.target.starts_with("/blob-");
    };
    for (std::chrono::milliseconds passed{0}; passed < time; passed += kStep) {
      Advance(kStep);
      intake.Tick(now());
      transfers.Tick(now());
      writer.Tick(now());
      for (const auto& worker : workers) {
        worker->Tick(now());
      }
      RunStore();
      RunLink();
      AnswerBackendCalls();
    }
  }
  // Passes an event to the worker that began the call. Returns false if no
  // worker did.
  bool DeliverToWorker(CallEvent& event) {
    OutboundCallId& id =
        std::visit([](auto& e) -> OutboundCallId& { return e.id; }, event);
    const int number = OwnerOf(id);
    if (number == 0) {
      return false;
    }
    id = OutboundCallId{static_cast<std::uint64_t>(id) % kCallsOfWorker};
    for (const auto& worker : workers) {
      if (worker->worker_number == number) {
        worker->calls.Deliver(event);
        return true;
      }
    }
    return true;  // the worker has ended
  }
  // Ends a worker without notice, as a crash of its VM does.
  void KillWorker(int number) {
    std::erase_if(started, [number](const OutboundCall& call) {
      return OwnerOf(call.id) == number;
    });
    std::erase_if(workers, [number](const auto& worker) {
      return worker->worker_number == number;
    });
  }
  size_t CountListed(const std::string& job) const {
    return StoredState(job).listed;
  }

  // Moves the bytes of one step.
  void RunLink() {
    std::vector<OutboundCall> transfers_now;
    for (const OutboundCall& call : started) {
      if (call.target.starts_with("/blob-")) {
        transfers_now.push_back(call);
      }
    }
    const double share = kLinkBytesPerSecond * kStep.count() / 1000 /
                         std::max<size_t>(1, transfers_now.size());
    for (const OutboundCall& call : transfers_now) {
      Transfer& transfer = BeginTransfer(call);
      transfer.bytes_left -= share;
      if (transfer.bytes_left <= 0) {
        link.erase(call.id);
        bytes_of_whole_transfers += transfer.bytes;
        RemovePendingCall(call.id);
        RespondToStoreCall(call);
      } else if (now() - transfer.began >= call.total_timeout) {
        link.erase(call.id);
        ++lost_transfers;
        Fail(call.id, /*was_sent=*/true, "Timeout was reached");
      }
    }
  }
  struct Transfer {
    TimePoint began{};
    size_t bytes = 0;
    double bytes_left = 0;
  };
  Transfer& BeginTransfer(const OutboundCall& call) {
    const auto [it, is_new] = link.try_emplace(call.id);
    if (is_new) {
      it->second.began = now();
      it->second.bytes = call.body.size() +
                         (call.method == "GET"
                              ? rows.Handle("GET", call.target, "").body.size()
                              : 0);
      it->second.bytes_left = static_cast<double>(it->second.bytes);
      ++begun_transfers;
    }
    return it->second;
  }
  // Backend servers answer load reports, and each item at once unless the test
  // handles it in `on_run`.
  void AnswerBackendCalls() {
    for (const OutboundCall& call : BackendCalls()) {
      if (down.contains(call.address)) {
        Fail(call.id, /*was_sent=*/false, "Couldn't connect to server");
      } else if (call.target == "/report") {
        Respond(call.id, 200, {}, R"({"running":0,"queued":0})");
      } else if (!on_run || !on_run(call)) {
        Respond(call.id, 200, SignedFor(call),
                EventsAfter(FindHeader(call.headers, "last-event-id")));
      }
    }
  }
  // Returns the two events that follow the event `last`.
  static std::string EventsAfter(const std::string& last) {
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    return "id: " + std::to_string(first) +
           "\ndata: x\n\nid: " + std::to_string(first + 1) + "\ndata: y\n\n";
  }
  static HeaderList SignedFor(const OutboundCall& call) {
    return {{"x-carawayrelay-request-id",
             FindHeader(call.headers, "x-carawayrelay-request-id")},
            {"x-carawayrelay-server-stamp", "s"}};
  }

  std::vector<std::unique_ptr<Worker>> workers;
  std::map<OutboundCallId, Transfer> link;
  // Returns whether the test answers the run of an item itself; may be empty.
  std::function<bool(const OutboundCall&)> on_run;
  std::set<std::string> down;  // addresses of backend servers
  size_t bytes_of_whole_transfers = 0;
  int begun_transfers = 0;
  int lost_transfers = 0;
};

}  // namespace carawayrelay
