#include "standins/engine_model.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace carawayrelay::tools {
namespace {

struct EngineModelFixture {
  static EngineModel::Options MakeOptions() {
    EngineModel::Options options;
    options.step_base = 5ms;
    options.step_per_sequence = 1ms;
    options.prefill_per_token = 100us;
    options.max_running = 3;
    options.cold_capacity = 1;
    options.cold_time = 100ms;
    options.cold_slowdown = 2;
    options.recovery_time = 50ms;
    return options;
  }

  SequenceId Submit(const PromptShape& prompt, int tokens, TimePoint at) {
    const EngineModel::Admission admission = model.Submit(prompt, tokens, at);
    REQUIRE(std::holds_alternative<EngineModel::Accepted>(admission));
    return std::get<EngineModel::Accepted>(admission).sequence;
  }

  Duration StepTime(TimePoint at) {
    const std::optional<TimePoint> end = model.BeginStep(at);
    REQUIRE(end.has_value());
    return *end - at;
  }

  const TimePoint start{};
  const TimePoint warm = start + 1s;
  const PromptShape empty_prompt;
  EngineModel model{MakeOptions(), start};
};

TEST_CASE_FIXTURE(EngineModelFixture,
                  "EngineModel, more running sequences, steps take longer") {
  // Guards against a model in which concurrent sequences cost no time. All
  // balancing policies would measure equally well against it.
  Submit(empty_prompt, 4, warm);
  CHECK(StepTime(warm) == 6ms);
  model.EndStep();
  Submit(empty_prompt, 4, warm);
  Submit(empty_prompt, 4, warm);
  CHECK(StepTime(warm) == 8ms);
}

TEST_CASE_FIXTURE(
    EngineModelFixture,
    "EngineModel, a cached prompt prefix, takes no prefill time") {
  // Guards against a model in which cached prefixes save no time, so that
  // prefix affinity would have no measurable effect.
  PromptShape prompt{2 * kBlockTokens, {11, 22}};
  Submit(prompt, 1, warm);
  CHECK(StepTime(warm) == 6ms + 2 * kBlockTokens * 100us);
  model.EndStep();
  prompt.tokens += 3;
  Submit(prompt, 1, warm);
  CHECK(StepTime(warm) == 6ms + 3 * 100us);
  CHECK(model.EndStep().at(0).cached_tokens == 2 * kBlockTokens);
}

TEST_CASE_FIXTURE(
    EngineModelFixture,
    "EngineModel, over max_running, starts sequences in FIFO order") {
  // Guards against an engine model that reorders requests, which real engines
  // do not do.
  const SequenceId first = Submit(empty_prompt, 1, warm);
  for (int i = 0; i < 2; ++i) {
    Submit(empty_prompt, 2, warm);
  }
  const SequenceId fourth = Submit(empty_prompt, 1, warm);
  StepTime(warm);
  CHECK(model.CurrentLoad().waiting == 1);
  const std::vector<EngineModel::Token> tokens = model.EndStep();
  REQUIRE(tokens.size() == 3);
  CHECK(tokens.at(0).sequence == first);
  CHECK(tokens.at(0).last);
  CHECK_FALSE(tokens.at(1).last);
  StepTime(warm);
  CHECK(model.EndStep().at(2).sequence == fourth);
}

TEST_CASE_FIXTURE(EngineModelFixture,
                  "EngineModel, one sequence too many when cold, crashes") {
  // Guards against a model that tolerates overload while it is cold. An agent
  // that ignores cold starts would go unnoticed.
  const SequenceId running = Submit(empty_prompt, 9, start);
  CHECK(StepTime(start) == 12ms);
  const TimePoint late = start + 10ms;
  const EngineModel::Admission excess = model.Submit(empty_prompt, 1, late);
  REQUIRE(std::holds_alternative<EngineModel::Crashed>(excess));
  const auto& crash = std::get<EngineModel::Crashed>(excess);
  CHECK(crash.aborted == std::vector{running});
  CHECK(crash.sequences == 2);
  CHECK(model.EndStep().empty());
  CHECK(std::holds_alternative<EngineModel::Recovering>(
      model.Submit(empty_prompt, 1, late + 49ms)));
  Submit(empty_prompt, 1, late + 50ms);
  CHECK(model.IsCold(late + 149ms));
  CHECK_FALSE(model.IsCold(late + 150ms));
}

TEST_CASE_FIXTURE(EngineModelFixture,
                  "EngineModel, a cancelled sequence, gets no more tokens") {
  // Guards against cancelled batch items that still take up engine time.
  const SequenceId sequence = Submit(empty_prompt, 9, warm);
  StepTime(warm);
  model.Cancel(sequence);
  CHECK(model.EndStep().empty());
  CHECK_FALSE(model.BeginStep(warm).has_value());
}

TEST_CASE("ComputePromptShape, prompts with a common start, share blocks") {
  // Guards against block hashes that depend on the text after the block, with
  // which shared prefixes would never be found in the cache.
  std::string words;
  for (int i = 0; i < kBlockTokens; ++i) {
    words += "word" + std::to_string(i) + " ";
  }
  const PromptShape one = ComputePromptShape(words + "first question");
  const PromptShape two = ComputePromptShape(words + words);
  CHECK(one.tokens == kBlockTokens + 2);
  REQUIRE(one.prefix_hashes.size() == 1);
  REQUIRE(two.prefix_hashes.size() == 2);
  CHECK(one.prefix_hashes[0] == two.prefix_hashes[0]);
}

}  // namespace
}  // namespace carawayrelay::tools
