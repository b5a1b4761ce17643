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
#include "process/serving/event_loop_clock.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"
#include "process/transport/outbound_calls.h"
#include "standins/row_store.h"

namespace carawayrelay {

// The environment of the event loop thread without threads and sockets: its
// clock, its outbound calls and a store stand-in. RunStore() responds to store
// calls; the test responds to calls to backend servers.
struct ServingFixture {
  // Fault to inject into a store call.
  enum class StoreFault {
    kNone,
    kRefuse,        // responds 503, not executed
    kLoseResponse,  // executed, but no response
    kLoseCall,      // not executed, no response
  };

  static constexpr const char* kStoreAddress = "10.0.0.1:1";

  ServingFixture() { clock.Set(TimePoint(std::chrono::hours(1))); }

  TimePoint now() const { return clock.now(); }
  void Advance(std::chrono::milliseconds time) { clock.Set(now() + time); }

  // Responds to the pending store calls and to those that their handlers start.
  // Returns the number of calls. Watch calls stay pending while there are no
  // changes, unless `ends_watches` is set.
  int RunStore() {
    int count = 0;
    for (int round = 0; round < 50; ++round) {
      std::vector<OutboundCall> due;
      for (auto it = started.begin(); it != started.end();) {
        if (it->address == kStoreAddress && (!is_held || !is_held(*it)) &&
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
        RespondToStoreCall(call);
        ++count;
      }
    }
    return count;
  }

  void RespondToStoreCall(const OutboundCall& call) {
    ++store_calls;
    const StoreFault fault =
        store_fault ? store_fault(call) : StoreFault::kNone;
    if (fault == StoreFault::kRefuse) {
      Respond(call.id, 503, {}, "");
      return;
    }
    RowStore::Response answer;
    if (fault != StoreFault::kLoseCall) {
      answer = rows.Handle(call.method, call.target, call.body);
    }
    if (fault != StoreFault::kNone) {
      Fail(call.id, /*was_sent=*/true, "Timeout was reached");
      return;
    }
    Respond(call.id, answer.status, {}, answer.body);
  }

  // Returns the pending calls to backend servers.
  std::vector<OutboundCall> BackendCalls() const {
    std::vector<OutboundCall> found;
    for (const OutboundCall& call : started) {
      if (call.address != kStoreAddress) {
        found.push_back(call);
      }
    }
    return found;
  }
  // Returns the pending call to a backend server; fails unless there is exactly
  // one.
  OutboundCall BackendCall() const {
    const std::vector<OutboundCall> found = BackendCalls();
    REQUIRE(found.size() == 1);
    return found[0];
  }

  bool IsPending(OutboundCallId id) const {
    return std::ranges::any_of(
        started, [id](const OutboundCall& call) { return call.id == id; });
  }

  void Deliver(CallEvent event) {
    if (!deliver_to_owner || !deliver_to_owner(event)) {
      calls.Deliver(event);
    }
  }
  void RemovePendingCall(OutboundCallId id) {
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
    RemovePendingCall(id);
    Deliver(CallEnd{.id = id, .is_complete = true, .was_sent = true});
  }
  void Fail(OutboundCallId id, bool was_sent, const std::string& reason) {
    RemovePendingCall(id);
    Deliver(CallEnd{.id = id,
                    .was_sent = was_sent,
                    .was_dropped = was_sent,
                    .reason = reason});
  }
  void Respond(OutboundCallId id,
               int status,
               HeaderList headers,
               const std::string& body) {
    Head(id, status, std::move(headers));
    Data(id, body);
    End(id);
  }

  static std::string BackendRegistrationText(
      const std::string& address,
      const std::string& state = "ready",
      const std::string& zone = "zone-1") {
    return R"({"service":"llm","address":")" + address + R"(","zone":")" +
           zone + R"(","version":"v1","capacity":8,"state":")" + state +
           R"(","coldLeftMs":0,"sequence":1})";
  }
  static StoredRow BackendRow(const std::string& id,
                              const std::string& address,
                              const std::string& state = "ready") {
    return {.key = {.table = "servers", .key = id},
            .value = BackendRegistrationText(address, state),
            .version = 1};
  }

  EventLoopClock clock;
  std::vector<OutboundCall> started;
  std::vector<OutboundCallId> cancelled;
  RowStore rows{[this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        clock.now().time_since_epoch());
  }};
  std::function<StoreFault(const OutboundCall&)> store_fault;
  // Whether RunStore() leaves a store call pending; may be empty.
  std::function<bool(const OutboundCall&)> is_held;
  // Whether watch calls get a response even if there are no changes.
  bool ends_watches = false;
  int store_calls = 0;
  // Delivers an event to the process that began the call, if it is not this
  // one, and returns true; may be empty.
  std::function<bool(CallEvent&)> deliver_to_owner;
  OutboundCalls calls{[this](OutboundCall call) {
                        started.push_back(std::move(call));
                        return true;
                      },
                      [this](OutboundCallId id) {
                        cancelled.push_back(id);
                        RemovePendingCall(id);
                      }};
  StoreClient store{kStoreAddress, calls, clock};
};

}  // namespace carawayrelay
