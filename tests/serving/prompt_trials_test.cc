#include "process/quarantine/prompt_trials.h"

#include <chrono>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>

#include "serving/serving_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Three processes that know of the same crashes and share a store.
struct PromptTrialsFixture : ServingFixture {
  struct Process {
    Process(PromptTrialsFixture& fixture, const std::string& node)
        : trials(node, quarantine, fixture.store, fixture.clock) {}

    PromptQuarantine quarantine;
    PromptTrials trials;
  };

  PromptTrialsFixture() {
    store.Send(RowsRead{.table = "op"}, [](const StoreResponse&) {});
    RunStore();
  }

  // One crash that a process sees with a request with these parts.
  void Crash(Process& process, const PromptParts& parts) {
    process.quarantine.NoteCrash("server-" + std::to_string(++crashes), parts,
                                 now());
    Exchange();
  }
  void CrashThrice(const PromptParts& parts) {
    for (int i = 0; i < 3; ++i) {
      Advance(milliseconds(300));
      Crash(a, parts);
    }
  }
  void Exchange() {
    const std::map<std::string, Process*> processes = {
        {"node-a", &a}, {"node-b", &b}, {"node-c", &c}};
    for (const auto& [node, from] : processes) {
      for (const auto& [other, to] : processes) {
        if (from != to) {
          to->quarantine.Apply({{node, from->quarantine.own_report()}}, now());
        }
      }
    }
  }
  // Whether a request with these parts is sent now, as a trial or otherwise.
  bool Sends(Process& process, const PromptParts& parts) {
    const PromptTrials::Verdict verdict = process.trials.Admit(parts, now());
    if (!std::holds_alternative<PromptTrials::TrialDue>(verdict)) {
      return std::holds_alternative<PromptTrials::Admitted>(verdict);
    }
    const auto answer = Ask(process, parts);
    RunStore();
    return *answer && std::holds_alternative<TrialGrant>(**answer);
  }
  using AnswerSlot = std::shared_ptr<std::optional<PromptTrials::Answer>>;
  static AnswerSlot Ask(Process& process, const PromptParts& parts) {
    auto slot = std::make_shared<std::optional<PromptTrials::Answer>>();
    process.trials.Ask(
        parts, [slot](const PromptTrials::Answer& answer) { *slot = answer; });
    return slot;
  }

  Process a{*this, "node-a"};
  Process b{*this, "node-b"};
  Process c{*this, "node-c"};
  int crashes = 0;
};

// Guards against a sound part that is refused for minutes, and against a part
// that crashes a server at each trial and is tried again and again.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, part crashes at each trial, trials are few") {
  for (int i = 0; i < 5; ++i) {
    Advance(milliseconds(300));
    Crash(i % 2 == 0 ? a : b, {"deadly"});
  }
  int trials = 0;
  for (int i = 0; i < 2800; ++i) {
    Advance(milliseconds(100));
    for (Process* process : {&a, &b, &c}) {
      if (Sends(*process, {"deadly"})) {
        ++trials;
        Crash(*process, {"deadly"});
      }
    }
  }
  CHECK(trials >= 1);
  CHECK(trials <= 3);
}

// Guards against trials by more than one process at a time.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, trial is answered, part is released") {
  CrashThrice({"rare"});
  Advance(seconds(9));
  CHECK_FALSE(Sends(a, {"rare"}));
  Advance(seconds(2));
  CHECK(Sends(b, {"rare"}));
  CHECK_FALSE(Sends(a, {"rare"}));
  CHECK_FALSE(Sends(b, {"rare"}));
  CHECK_FALSE(Sends(c, {"rare"}));
  b.quarantine.NoteAnswer({"rare"}, now());
  Exchange();
  CHECK(Sends(a, {"rare"}));
  CHECK(Sends(c, {"rare"}));
}

// Guards against a part that waits for the process that saw its newest crash,
// which may have ended or may never get a request with the part.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, process that saw the crashes has ended, "
                  "another one tries the part") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  CHECK(Sends(c, {"rare"}));
}

TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, two processes ask at once, one gets the "
                  "right") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  const AnswerSlot first = Ask(b, {"rare"});
  const AnswerSlot second = Ask(c, {"rare"});
  RunStore();
  REQUIRE(*first);
  REQUIRE(*second);
  CHECK(std::holds_alternative<TrialGrant>(**first) !=
        std::holds_alternative<TrialGrant>(**second));
}

// Guards against a part that waits for the outcome of a trial whose process has
// ended.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, owners of the right end each time, others try "
                  "after an interval") {
  CrashThrice({"rare"});
  int trials = 0;
  for (int i = 0; i < 65; ++i) {
    Advance(seconds(1));
    Process& process = i % 2 == 0 ? b : c;
    trials += Sends(process, {"rare"}) ? 1 : 0;
  }
  CHECK(trials >= 4);
  CHECK(trials <= 5);
}

// Guards against a right that is used up by a request that no server got.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, right is given back, another process gets "
                  "it") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  const AnswerSlot answer = Ask(b, {"rare"});
  RunStore();
  b.trials.Return(std::get<TrialGrant>(**answer));
  RunStore();
  CHECK_FALSE(Sends(b, {"rare"}));
  CHECK(Sends(c, {"rare"}));
}

// Guards against two trials of one part that processes accuse together with
// different other parts.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, groups share a part, have one right") {
  CrashThrice({"caller", "deadly"});
  Advance(seconds(11));
  CHECK(Sends(b, {"caller", "deadly"}));
  // Only this process knows that the caller's own part is sound.
  c.quarantine.NoteAnswer({"caller"}, now());
  CHECK_FALSE(Sends(c, {"deadly"}));
}

// Guards against a sound part that is refused for minutes because crashes lie
// so far apart that each of them looks like a failed trial.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, crashes lie far apart, part is tried") {
  for (int i = 0; i < 4; ++i) {
    Advance(seconds(30));
    Crash(a, {"rare"});
  }
  Advance(seconds(11));
  CHECK(Sends(a, {"rare"}));
}

// Guards against requests that wait for a store that does not answer, and
// against parts that are not tried after its return.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, store is away, part is tried after its "
                  "return") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  store_fault = [](const OutboundCall&) { return StoreFault::kRefuse; };
  CHECK_FALSE(Sends(b, {"rare"}));
  CHECK(std::holds_alternative<PromptTrials::Refused>(
      b.trials.Admit({"rare"}, now())));
  store_fault = nullptr;
  Advance(seconds(2));
  CHECK(Sends(b, {"rare"}));
}

// Guards against a second trial after a write whose response was lost.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, response of the store is lost, the right "
                  "counts as used") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  store_fault = [](const OutboundCall&) { return StoreFault::kLoseResponse; };
  CHECK_FALSE(Sends(b, {"rare"}));
  store_fault = nullptr;
  Advance(seconds(2));
  CHECK_FALSE(Sends(b, {"rare"}));
  CHECK_FALSE(Sends(c, {"rare"}));
  Advance(seconds(9));
  CHECK(Sends(c, {"rare"}));
}

// Guards against a sound request that is refused although its part was released
// while the store was asked.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, part is released meanwhile, request is "
                  "admitted") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  const AnswerSlot first = Ask(b, {"rare"});
  const AnswerSlot second = Ask(c, {"rare"});
  c.quarantine.NoteAnswer({"rare"}, now());
  RunStore();
  CHECK(std::holds_alternative<TrialGrant>(**first));
  CHECK(std::holds_alternative<PromptTrials::Admitted>(**second));
}

// Guards against a record that grows without a limit, and against one that
// cannot be read and ends all trials.
TEST_CASE_FIXTURE(PromptTrialsFixture,
                  "PromptTrials, record is damaged, is written anew") {
  CrashThrice({"rare"});
  Advance(seconds(11));
  store.Send(RowsTransaction{.writes = {{.key = {.table = "prompt_trials",
                                                 .part = "trials",
                                                 .key = "all"},
                                         .value = "[]"}}},
             [](const StoreResponse&) {});
  RunStore();
  CHECK(Sends(b, {"rare"}));
  Advance(minutes(6));
  CrashThrice({"other"});
  Advance(seconds(11));
  CHECK(Sends(b, {"other"}));
  const auto record =
      DecodeTrialRecord(rows.Get("prompt_trials", "trials", "all"));
  REQUIRE(record);
  REQUIRE(record.value().grants.size() == 1);
  CHECK(record.value().grants[0].parts == PromptParts{"other"});
  CHECK(record.value().grants[0].node == "node-b");
}

TEST_CASE("DecodeTrialRecord, damaged text, reads what it can") {
  CHECK_FALSE(DecodeTrialRecord(""));
  CHECK_FALSE(DecodeTrialRecord("{}"));
  CHECK_FALSE(DecodeTrialRecord(std::string(100000, '[')));
  const auto record = DecodeTrialRecord(
      R"({"grants":[1,{"at_ms":"x"},{"at_ms":7,"parts":["p",2]},)"
      R"({"at_ms":3,"parts":[],"node":1}]})");
  REQUIRE(record);
  REQUIRE(record.value().grants.size() == 2);
  CHECK(record.value().grants[1] ==
        TrialGrant{.parts = {"p"}, .at = milliseconds(7)});
}

}  // namespace
}  // namespace carawayrelay
