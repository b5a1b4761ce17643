#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"
#include "standins/prefix_cache.h"

namespace carawayrelay::tools {

// One sequence in the engine stand-in.
enum class SequenceId : std::uint64_t {};

// Cost model of an engine with continuous batching. Time passes in steps; each
// step admits waiting sequences in FIFO order, fills in their prompts, and
// gives one token to every running sequence. Holds no clock and no sockets.
class EngineModel {
 public:
  struct Options {
    std::chrono::microseconds step_base{5000};
    std::chrono::microseconds step_per_sequence{200};
    std::chrono::microseconds prefill_per_token{50};
    // A step admits no more sequences once it has this much to fill in.
    int max_prefill_tokens = 2048;
    int max_running = 32;
    int cache_tokens = 20000;
    int kv_capacity_tokens = 100000;
    // While cold, steps take this much longer. An agent learns from slow first
    // tokens that the engine cannot bear more yet.
    double cold_slowdown = 20;
    int cold_capacity = 4;
    std::chrono::milliseconds cold_time{3000};
    std::chrono::milliseconds recovery_time{2000};
  };

  struct Accepted {
    SequenceId sequence{0};
  };
  // The engine is recovering and takes nothing.
  struct Recovering {};
  // This sequence was more than the cold engine could bear.
  struct Crashed {
    std::vector<SequenceId> aborted;
    // Sequences in the engine, with this one.
    int sequences = 0;
    Duration cold_for{0};
  };
  using Admission = std::variant<Accepted, Recovering, Crashed>;

  struct Token {
    SequenceId sequence{0};
    int index = 0;
    bool last = false;
    int cached_tokens = 0;
  };

  struct Load {
    int running = 0;
    int waiting = 0;
    int kv_used = 0;
    int capacity = 0;
  };

  // The engine starts cold at `now`.
  EngineModel(const Options& options, TimePoint now);

  Admission Submit(PromptShape prompt, int completion_tokens, TimePoint now);
  void Cancel(SequenceId sequence);

  // Starts a step and returns its end, or nothing when there is no work.
  std::optional<TimePoint> BeginStep(TimePoint now);
  // Ends the step and returns its tokens. Sequences cancelled in the meantime
  // get none.
  std::vector<Token> EndStep();
  bool IsInStep() const { return in_step_; }

  // The engine becomes cold and forgets its cache; running sequences go on.
  void BecomeCold(TimePoint now);
  // The engine starts anew: returns the sequences that break.
  std::vector<SequenceId> Restart(TimePoint now);

  bool IsCold(TimePoint now) const { return now < cold_until_; }
  Load CurrentLoad() const;

 private:
  struct Sequence {
    PromptShape prompt;
    int completion_tokens = 0;
    int generated_tokens = 0;
    int cached_tokens = 0;
  };

  std::vector<SequenceId> RemoveAll();

  Options options_;
  PrefixCache cache_;
  std::map<SequenceId, Sequence> running_;
  std::deque<std::pair<SequenceId, Sequence>> waiting_;
  std::uint64_t last_sequence_ = 0;
  bool in_step_ = false;
  TimePoint cold_since_;
  TimePoint cold_until_;
  TimePoint recovers_at_;
};

}  // namespace carawayrelay::tools
