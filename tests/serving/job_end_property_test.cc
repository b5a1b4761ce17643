#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "property.h"
#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Two frontends and two workers that change one job, with a store that refuses
// calls, loses calls or answers, and executes some calls late.
struct JobEndFixture : JobFixture {
  struct Process {
    explicit Process(JobEndFixture& fixture)
        : writer(table, fixture.store.sender(), fixture.clock) {}

    JobTable table;
    JobWriter writer;
  };

  JobEndFixture() {
    Submit("j", Submission(6));
    RunUntilIdle();
    for (int i = 0; i < 4; ++i) {
      processes.push_back(std::make_unique<Process>(*this));
    }
    store_fault = [this](const OutboundCall& call) {
      const int fault = *rc::gen::inRange(0, 10);
      if (fault == 0) {
        late.push_back(call);
        return StoreFault::kLoseCall;
      }
      return fault == 1   ? StoreFault::kLoseResponse
             : fault <= 4 ? StoreFault::kRefuse
                          : StoreFault::kNone;
    };
  }

  void RequestEnd(Process& process) {
    process.writer.Add(
        "j", {.apply =
                  [](BulkJob& state, RowsTransaction&) {
                    return std::exchange(state.is_ended, true)
                               ? JobWriter::Outcome::kAlreadyApplied
                               : JobWriter::Outcome::kChanged;
                  },
              .done =
                  [this](JobWriter::Outcome outcome) {
                    RC_ASSERT(outcome != JobWriter::Outcome::kObsolete);
                    if (!acknowledged) {
                      acknowledged = StoredState("j").items;
                    }
                  }});
  }
  // Claims one item, or lists the result of one, as a worker does.
  void ChangeItem(Process& process, size_t index, ItemState to) {
    const milliseconds lease_end = store.StoreTime(now()) + milliseconds(8000);
    process.writer.Add(
        "j", {.apply =
                  [index, to, lease_end](BulkJob& state, RowsTransaction&) {
                    JobItemState& item = state.items[index];
                    if (state.is_ended || item.IsListed()) {
                      return JobWriter::Outcome::kObsolete;
                    }
                    if (item.state == to && item.lease_end >= lease_end) {
                      return JobWriter::Outcome::kAlreadyApplied;
                    }
                    item.state = to;
                    item.lease_end = lease_end;
                    return JobWriter::Outcome::kChanged;
                  },
              .done = [](JobWriter::Outcome) {}});
  }
  void Run() {
    Advance(milliseconds(*rc::gen::inRange(1, 200)));
    for (const auto& process : processes) {
      process->writer.Tick(now());
    }
    RunStore();
  }
  // A restarted process knows nothing. No call is in flight after RunStore().
  void Restart(size_t index) {
    RunStore();
    processes[index] = std::make_unique<Process>(*this);
  }
  void ExecuteLateCall() {
    if (!late.empty()) {
      const OutboundCall call = late.front();
      late.erase(late.begin());
      rows.Handle(call.method, call.target, call.body);
    }
  }
  // Once an end was acknowledged, the store has it and no item changes.
  void CheckEnd() const {
    if (!acknowledged) {
      return;
    }
    const BulkJob job = StoredState("j");
    RC_ASSERT(job.is_ended);
    for (size_t i = 0; i < job.items.size(); ++i) {
      RC_ASSERT(job.items[i].state == (*acknowledged)[i].state);
      RC_ASSERT(job.items[i].lease_end == (*acknowledged)[i].lease_end);
    }
  }
  void Step() {
    const auto process = *rc::gen::inRange<size_t>(0, 2);
    const auto item = *rc::gen::inRange<size_t>(0, 6);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        RequestEnd(*processes[process]);
        break;
      case 1:
      case 2:
        ChangeItem(*processes[2 + process], item, ItemState::kClaimed);
        break;
      case 3:
        ChangeItem(*processes[2 + process], item, ItemState::kComplete);
        break;
      case 4:
        Restart(*rc::gen::inRange<size_t>(0, 4));
        break;
      case 5:
        ExecuteLateCall();
        break;
      default:
        Run();
    }
    CheckEnd();
  }

  std::vector<std::unique_ptr<Process>> processes;
  std::vector<OutboundCall> late;
  // The items of the job when an end was first acknowledged.
  std::optional<std::vector<JobItemState>> acknowledged;
};

// Guards against items that begin after the end of their job was acknowledged,
// in any order of ends, claims, results, restarts and failures of the store.
TEST_CASE("JobWriter, end acknowledged, no claim is granted") {
  CheckProperty("an acknowledged end stays in the store", [] {
    JobEndFixture fixture;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      fixture.Step();
    }
  });
}

}  // namespace
}  // namespace carawayrelay
