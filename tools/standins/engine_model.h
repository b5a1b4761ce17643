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

// Identifies one request in the engine stand-in.
enum class SequenceId : std::uint64_t {};

// Cost model of a model engine with continuous batching. Each step admits
// waiting sequences in FIFO order, prefills their prompts, and generates one
// token for every running sequence. The caller passes the time, so the model
// needs neither a clock nor sockets. Not thread-safe.
class EngineModel {
 public:
  struct Options {
    std::chrono::microseconds step_base{5000};
    std::chrono::microseconds step_per_sequence{200};
    std::chrono::microseconds prefill_per_token{50};
    // A step admits no more sequences once it has to prefill this many tokens.
    int max_prefill_tokens = 2048;
    int max_running = 32;
    int cache_tokens = 20000;
    int kv_capacity_tokens = 100000;
    // Factor on the duration of a step while the engine is cold. The agent
    // detects a cold engine by the resulting delay of first tokens.
    double cold_slowdown = 20;
    // More sequences than this crash the engine while it is cold.
    int cold_capacity = 4;
    std::chrono::milliseconds cold_time{3000};
    // How long the engine rejects all requests after a crash.
    std::chrono::milliseconds recovery_time{2000};
  };

  struct Accepted {
    SequenceId sequence{0};
  };
  // The engine crashed within the last `recovery_time` and rejects requests.
  struct Recovering {};
  // The sequence exceeded `cold_capacity`, and the cold engine crashed.
  struct Crashed {
    std::vector<SequenceId> aborted;
    // Sequences in the engine at the crash, including the rejected one.
    int sequences = 0;
    // Time since the engine became cold.
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
    // Tokens in the prefix cache and of the running sequences.
    int kv_used = 0;
    // Reported size of the KV memory in tokens. The model does not enforce it.
    int capacity = 0;
  };

  // The engine is cold from `now` on.
  EngineModel(const Options& options, TimePoint now);

  Admission Submit(PromptShape prompt, int completion_tokens, TimePoint now);
  void Cancel(SequenceId sequence);

  // Starts a step and returns the time at which it ends, or nullopt if there
  // are no sequences.
  std::optional<TimePoint> BeginStep(TimePoint now);
  // Ends the step and returns one token for each running sequence. Sequences
  // that were cancelled during the step get none.
  std::vector<Token> EndStep();
  bool IsInStep() const { return in_step_; }

  // Makes the engine cold and clears its prefix cache. Sequences in the engine
  // continue.
  void BecomeCold(TimePoint now);
  // Restarts the engine cold and returns the sequences that this aborts.
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

  // Removes all sequences, clears the cache, and returns the removed sequences.
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
