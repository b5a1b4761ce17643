#include "process/quarantine/prompt_quarantine.h"

#include <doctest/doctest.h>

#include <chrono>
#include <initializer_list>
#include <string>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

// The quarantines of three processes that tell each other their reports.
struct PromptQuarantineFixture {
  PromptQuarantine a;
  PromptQuarantine b;
  PromptQuarantine c;
  TimePoint now{std::chrono::hours(1)};

  void Advance(milliseconds time) { now += time; }
  void Exchange() {
    const auto tell = [this](const std::string& node, PromptQuarantine& from,
                             std::initializer_list<PromptQuarantine*> others) {
      for (PromptQuarantine* other : others) {
        other->Apply({{node, from.own_report()}}, now);
      }
    };
    tell("node-a", a, {&b, &c});
    tell("node-b", b, {&a, &c});
    tell("node-c", c, {&a, &b});
  }
  // One crash that a process sees with a request with these parts.
  void Crash(PromptQuarantine& process, const PromptParts& parts) {
    Advance(milliseconds(300));
    process.NoteCrash("server-" + std::to_string(++crashes), parts, now);
    Exchange();
  }

  int crashes = 0;
};

// Guards against requests with a part of a prompt that crashes each backend
// server: once 59 servers fell to it one after the other.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, part at three crashes, all refuse it") {
  Crash(a, {"common", "x1", "deadly"});
  Crash(b, {"common", "x2", "deadly"});
  CHECK_FALSE(c.Find({"common", "x3", "deadly"}));
  c.NoteAnswer({"common", "x4"}, now);
  Crash(a, {"common", "x5", "deadly"});
  for (const PromptQuarantine* process : {&a, &b, &c}) {
    const auto match = process->Find({"common", "x6", "deadly"});
    REQUIRE(match);
    CHECK(match->part == "deadly");
    CHECK(match->until > now + minutes(4));
  }
}

// Guards against refusing sound requests that share a part with the crashing
// ones.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, shared part is answered, is served") {
  Crash(a, {"common", "deadly"});
  c.NoteAnswer({"common"}, now);
  Crash(b, {"common", "deadly"});
  Crash(a, {"common", "deadly"});
  Crash(b, {"common", "deadly"});
  Advance(milliseconds(10));
  c.NoteAnswer({"common"}, now);
  Exchange();
  for (const PromptQuarantine* process : {&a, &b, &c}) {
    CHECK_FALSE(process->Find({"common"}));
    CHECK(process->Find({"common", "deadly"}));
    CHECK(process->Find({"deadly"}));
  }
}

// Guards against refusing the sound requests of one caller, whose own part was
// named by each crash: it is never answered while it is refused.
TEST_CASE_FIXTURE(
    PromptQuarantineFixture,
    "PromptQuarantine, two parts always together, one is served") {
  for (int i = 0; i < 3; ++i) {
    Crash(a, {"caller", "deadly"});
  }
  CHECK_FALSE(b.Find({"caller", "x"}));
  CHECK(b.Find({"caller", "deadly"}));
  b.NoteAnswer({"caller", "x"}, now + milliseconds(1));
  Exchange();
  CHECK(a.Find({"other", "deadly"}));
  CHECK_FALSE(a.Find({"caller", "x"}));
}

// Guards against taking the loss of a rack for the effect of a prompt: it
// breaks many requests with a common part at once.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, many servers lost at once, nothing is "
                  "refused") {
  for (int i = 0; i < 20; ++i) {
    a.NoteCrash("server-" + std::to_string(i), {"common"}, now);
    b.NoteCrash("server-" + std::to_string(i), {"common"}, now);
    Advance(milliseconds(2));
  }
  Exchange();
  CHECK_FALSE(c.Find({"common"}));
}

// Guards against a quarantine of a part that other processes serve: the answer
// of one of them ends it everywhere.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, answer elsewhere, ends the quarantine") {
  for (int i = 0; i < 3; ++i) {
    Crash(a, {"rare"});
  }
  REQUIRE(b.Find({"rare"}));
  Advance(milliseconds(50));
  c.NoteAnswer({"rare"}, now);
  Exchange();
  CHECK_FALSE(a.Find({"rare"}));
  CHECK_FALSE(b.Find({"rare"}));
  Crash(a, {"rare"});
  CHECK_FALSE(b.Find({"rare"}));
}

// Guards against a part that is refused forever.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, no crash for minutes, serves the part") {
  for (int i = 0; i < 3; ++i) {
    Crash(a, {"deadly"});
  }
  Advance(minutes(4));
  a.Tick(now);
  CHECK(a.Find({"deadly"}));
  Advance(minutes(2));
  a.Tick(now);
  CHECK_FALSE(a.Find({"deadly"}));
  CHECK(a.own_report().IsEmpty());
}

// Guards against a restarted process that forgets its crashes and lets the
// others forget them.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, restarted, takes over its own report") {
  for (int i = 0; i < 3; ++i) {
    Crash(a, {"deadly"});
  }
  PromptQuarantine restarted;
  restarted.TakeOver(a.own_report(), now);
  CHECK(restarted.Find({"deadly"}));
  CHECK(restarted.own_report().crashes.size() == 3);
}

// Guards against reports that grow without a limit.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, many crashes, report stays bounded") {
  for (int i = 0; i < 500; ++i) {
    Advance(milliseconds(1));
    a.NoteCrash("server-" + std::to_string(i), {"part-" + std::to_string(i)},
                now);
  }
  CHECK(a.own_report().crashes.size() == 32);
}

// Guards against a report that does not fit into its row, and against the crash
// of one server that drives all others out of the report: it cuts many answers
// at once.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, one crash cuts many answers, is one "
                  "entry") {
  const auto part = [](int number) {
    return std::string(24, 'p') + std::to_string(10'000'000 + number);
  };
  for (int crash = 0; crash < 40; ++crash) {
    Advance(milliseconds(200));
    for (int answer = 0; answer < 20; ++answer) {
      PromptParts parts;
      for (int i = 0; i < 16; ++i) {
        parts.push_back(part(crash * 1000 + answer * 16 + i));
      }
      a.NoteCrash("server-" + std::to_string(crash), parts, now);
    }
  }
  CHECK(a.own_report().crashes.back().backend_id == "server-39");
  CHECK(a.own_report().crashes.size() >= 8);
  const ClockPair clocks{.local = now, .store = minutes(10)};
  CHECK(EncodeCrashReport(a.own_report(), clocks).size() < 45000);
}

// Guards against sound parts that are refused because servers drop connections
// without crashing.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, server answers soon after, was no "
                  "crash") {
  for (int i = 0; i < 20; ++i) {
    Advance(milliseconds(300));
    const std::string server = "server-" + std::to_string(i % 8);
    a.NoteCrash(server, {"rare"}, now);
    const TimePoint asked = now + milliseconds(20);
    Advance(milliseconds(60));
    a.NoteAlive(server, asked, now);
    Exchange();
  }
  CHECK_FALSE(b.Find({"rare"}));
  CHECK(a.own_report().IsEmpty());
}

// Guards against a crash that is forgotten because the server answers after its
// next start, under the same id, or had answered just before.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, server back after seconds, had crashed") {
  for (int i = 0; i < 3; ++i) {
    Advance(milliseconds(4000));
    const TimePoint asked = now - milliseconds(10);
    a.NoteCrash("server", {"deadly"}, now);
    a.NoteAlive("server", asked, now + milliseconds(1));
    a.NoteAlive("server", now + milliseconds(3000), now + milliseconds(3100));
    Exchange();
  }
  CHECK(b.Find({"deadly"}));
}

// Guards against a crash that looks like the end of an answer without a length:
// what comes next tells whether the server lived on.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, undelimited answers, count by what "
                  "follows") {
  for (int i = 0; i < 3; ++i) {
    Advance(milliseconds(300));
    const std::string server = "server-" + std::to_string(i);
    a.NoteUndelimitedAnswer(server, {"deadly"}, now);
    b.NoteUndelimitedAnswer(server, {"deadly"}, now);
    a.NoteUnreachable(server, now + milliseconds(50));
    Exchange();
  }
  CHECK(b.Find({"deadly"}));
  Advance(milliseconds(300));
  c.NoteUndelimitedAnswer("server-9", {"deadly"}, now);
  c.NoteAlive("server-9", now + milliseconds(10), now + milliseconds(20));
  Exchange();
  CHECK_FALSE(a.Find({"deadly"}));
}

// Guards against refusing a sound caller whose streams are cut by the crashes
// that another part causes.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, crashes explained by another part, accuse "
                  "no bystander") {
  for (int i = 0; i < 5; ++i) {
    Advance(milliseconds(300));
    const std::string server = "server-" + std::to_string(i);
    a.NoteCrash(server, {"caller-" + std::to_string(i), "deadly"}, now);
    b.NoteCrash(server, {"bystander"}, now + milliseconds(5));
    Exchange();
    if (i == 0) {
      // Only the crashing part stands at every crash.
      c.NoteAnswer({"bystander"}, now + milliseconds(10));
      Advance(milliseconds(20));
      Exchange();
    }
  }
  CHECK(c.Find({"deadly", "x"}));
  CHECK_FALSE(c.Find({"bystander"}));
}

// Guards against a part that all requests share and that is refused because no
// answer ended between three crashes.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "PromptQuarantine, answers under way on a part, the other "
                  "part is accused") {
  for (int i = 0; i < 4; ++i) {
    Advance(milliseconds(300));
    a.NoteCrash("server-" + std::to_string(i), {"common", "deadly"}, now);
    a.NoteProgress({"common"}, now + milliseconds(100));
  }
  Advance(milliseconds(300));
  a.NoteCrash("server-9", {"common"}, now);
  CHECK(a.Find({"common", "deadly"}));
  CHECK_FALSE(a.Find({"common", "other"}));
}

// Guards against reports of other writers that end the process or never expire.
TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "DecodeCrashReport, damaged text, reads what it can") {
  const ClockPair clocks{.local = now, .store = minutes(10)};
  CHECK_FALSE(DecodeCrashReport("", clocks));
  CHECK_FALSE(DecodeCrashReport("[1]", clocks));
  CHECK_FALSE(DecodeCrashReport(std::string(100000, '['), clocks));
  const auto report = DecodeCrashReport(
      R"({"crashes":[1,{"at_ms":"x"},{"at_ms":599000,"parts":["p",2]},)"
      R"({"at_ms":99999999,"parts":["q"]}],"answered":{}})",
      clocks);
  REQUIRE(report);
  REQUIRE(report.value().crashes.size() == 2);
  CHECK(report.value().crashes[0].suspects == PromptParts{"p"});
  CHECK(report.value().crashes[0].at == now - milliseconds(1000));
  CHECK(report.value().crashes[1].at == now);
}

TEST_CASE_FIXTURE(PromptQuarantineFixture,
                  "EncodeCrashReport, decoded, gives the same report") {
  Crash(a, {"p", "q"});
  const ClockPair clocks{.local = now, .store = minutes(10)};
  const ClockPair other{.local = now + minutes(7), .store = minutes(10)};
  const auto report =
      DecodeCrashReport(EncodeCrashReport(a.own_report(), clocks), other);
  REQUIRE(report);
  REQUIRE(report.value().crashes.size() == 1);
  CHECK(report.value().crashes[0].backend_id == "server-1");
  CHECK(report.value().crashes[0].suspects == PromptParts{"p", "q"});
  CHECK(report.value().crashes[0].at == now + minutes(7));
}

}  // namespace
}  // namespace carawayrelay
