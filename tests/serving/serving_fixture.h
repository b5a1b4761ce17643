#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/forward/backend_directory.h"
#include "process/jobs/job_writer.h"
#include "process/serving/step_clock.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"
#include "process/transport/outbound_calls.h"
#include "standins/row_store.h"

namespace carawayrelay {

// A deciding thread without threads and sockets: its clock, its calls and the
// store stand-in behind them. Store calls are answered by RunStore(), calls to
// backend servers by the test.
struct ServingFixture {
  // What happens to the next store calls.
  enum class StoreFault {
    kNone,
    kRefuse,      // 503, nothing done
    kLoseAnswer,  // done, but no answer
    kLoseCall,    // not done, no answer
  };

  static constexpr const char* kStoreAddress = "10.0.0.1:1";

  ServingFixture() { clock.Set(TimePoint(std::chrono::hours(1))); }

  TimePoint now() const { return clock.now(); }
  void Advance(std::chrono::milliseconds time) { clock.Set(now() + time); }

  // Answers the store calls that wait, and those that follow from them.
  // Returns how many were answered.
  int RunStore() {
    int count = 0;
    for (int round = 0; round < 50; ++round) {
      std::vector<OutboundCall> due;
      for (auto it = started.begin(); it != started.end();) {
        if (it->address == kStoreAddress &&
            (!it->target.starts_with("/rows-feed") ||
             rows.HasChanges(it->target) || ends_watches)) {
          due.push_back(*it);
          it = started.erase(it);
        } else {
          ++it;
        }
      }
      if (due.empty()) {
        break;
      }
      for (const OutboundCall& call : due) {
        AnswerStore(call);
        ++count;
      }
    }
    return count;
  }

  void AnswerStore(const OutboundCall& call) {
    ++store_calls;
    const StoreFault fault =
        store_fault ? store_fault(call) : StoreFault::kNone;
    if (fault == StoreFault::kRefuse) {
      Reply(call.id, 503, {}, "");
      return;
    }
    RowStore::Answer answer;
    if (fault != StoreFault::kLoseCall) {
      answer = rows.Handle(call.method, call.target, call.body);
    }
    if (fault != StoreFault::kNone) {
      Fail(call.id, /*was_sent=*/true, "Timeout was reached");
      return;
    }
    Reply(call.id, answer.status, {}, answer.body);
  }

  // Calls to backend servers that wait for an answer.
  std::vector<OutboundCall> RunnerCalls() const {
    std::vector<OutboundCall> found;
    for (const OutboundCall& call : started) {
      if (call.address != kStoreAddress) {
        found.push_back(call);
      }
    }
    return found;
  }
  // The only such call.
  OutboundCall RunnerCall() const {
    const std::vector<OutboundCall> found = RunnerCalls();
    REQUIRE(found.size() == 1);
    return found[0];
  }

  void Deliver(CallEvent event) { calls.Deliver(event); }
  void Forget(OutboundCallId id) {
    std::erase_if(started, [&](const auto& c) { return c.id == id; });
  }
  void Head(OutboundCallId id, int status, HeaderList headers = {}) {
    Deliver(
        CallHead{.id = id, .status = status, .headers = std::move(headers)});
  }
  void Data(OutboundCallId id, const std::string& bytes) {
    Deliver(CallData{.id = id, .bytes = bytes});
  }
  void End(OutboundCallId id) {
    Forget(id);
    Deliver(CallEnd{.id = id, .is_complete = true, .was_sent = true});
  }
  void Fail(OutboundCallId id, bool was_sent, const std::string& reason) {
    Forget(id);
    Deliver(CallEnd{.id = id, .was_sent = was_sent, .reason = reason});
  }
  void Reply(OutboundCallId id,
             int status,
             HeaderList headers,
             const std::string& body) {
    Head(id, status, std::move(headers));
    Data(id, body);
    End(id);
  }

  static std::string RunnerEntryText(const std::string& address,
                                     const std::string& state = "ready",
                                     const std::string& zone = "zone-1") {
    return R"({"service":"llm","address":")" + address + R"(","zone":")" +
           zone + R"(","version":"v1","capacity":8,"state":")" + state +
           R"(","coldLeftMs":0,"sequence":1})";
  }
  static StoredRow RunnerRow(const std::string& id,
                             const std::string& address,
                             const std::string& state = "ready") {
    return {.key = {.table = "servers", .key = id},
            .value = RunnerEntryText(address, state),
            .version = 1};
  }

  StepClock clock;
  std::vector<OutboundCall> started;
  std::vector<OutboundCallId> cancelled;
  RowStore rows{[this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        clock.now().time_since_epoch());
  }};
  std::function<StoreFault(const OutboundCall&)> store_fault;
  // Whether calls for changes are answered without any.
  bool ends_watches = false;
  int store_calls = 0;
  OutboundCalls calls{[this](OutboundCall call) {
                        started.push_back(std::move(call));
                        return true;
                      },
                      [this](OutboundCallId id) {
                        cancelled.push_back(id);
                        Forget(id);
                      }};
  StoreClient store{kStoreAddress, calls, clock};
};

}  // namespace carawayrelay
