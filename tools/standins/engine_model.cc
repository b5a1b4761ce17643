#include "standins/engine_model.h"

#include <algorithm>

namespace carawayrelay::tools {

EngineModel::EngineModel(const Options& options, TimePoint now)
    : options_(options), cache_(options.cache_tokens) {
  BecomeCold(now);
}

EngineModel::Admission EngineModel::Submit(PromptShape prompt,
                                           int completion_tokens,
                                           TimePoint now) {
  if (now < recovers_at_) {
    return Recovering{};
  }
  const int sequences = static_cast<int>(running_.size() + waiting_.size()) + 1;
  if (IsCold(now) && sequences > options_.cold_capacity) {
    Crashed crash{RemoveAll(), sequences, now - cold_since_};
    recovers_at_ = now + options_.recovery_time;
    cold_since_ = recovers_at_;
    cold_until_ = recovers_at_ + options_.cold_time;
    return crash;
  }
  const SequenceId id{++last_sequence_};
  waiting_.emplace_back(
      id, Sequence{std::move(prompt), std::max(completion_tokens, 1), 0, 0});
  return Accepted{id};
}

void EngineModel::Cancel(SequenceId sequence) {
  running_.erase(sequence);
  std::erase_if(waiting_,
                [&](const auto& entry) { return entry.first == sequence; });
}

std::optional<TimePoint> EngineModel::BeginStep(TimePoint now) {
  int prefill = 0;
  while (!waiting_.empty() && prefill < options_.max_prefill_tokens &&
         static_cast<int>(running_.size()) < options_.max_running) {
    auto [id, sequence] = std::move(waiting_.front());
    waiting_.pop_front();
    sequence.cached_tokens = cache_.Use(sequence.prompt);
    prefill += sequence.prompt.tokens - sequence.cached_tokens;
    running_.emplace(id, std::move(sequence));
  }
  if (running_.empty()) {
    return std::nullopt;
  }
  in_step_ = true;
  Duration length =
      options_.step_base +
      options_.step_per_sequence * static_cast<int>(running_.size()) +
      options_.prefill_per_token * prefill;
  if (IsCold(now)) {
    length = Duration(static_cast<Duration::rep>(
        static_cast<double>(length.count()) * options_.cold_slowdown));
  }
  return now + length;
}

std::vector<EngineModel::Token> EngineModel::EndStep() {
  in_step_ = false;
  std::vector<Token> tokens;
  for (auto entry = running_.begin(); entry != running_.end();) {
    Sequence& sequence = entry->second;
    const int index = sequence.generated_tokens++;
    const bool last = sequence.generated_tokens == sequence.completion_tokens;
    tokens.push_back({entry->first, index, last, sequence.cached_tokens});
    entry = last ? running_.erase(entry) : std::next(entry);
  }
  return tokens;
}

void EngineModel::BecomeCold(TimePoint now) {
  cache_.Clear();
  cold_since_ = now;
  cold_until_ = now + options_.cold_time;
}

std::vector<SequenceId> EngineModel::Restart(TimePoint now) {
  BecomeCold(now);
  return RemoveAll();
}

EngineModel::Load EngineModel::CurrentLoad() const {
  Load load;
  load.running = static_cast<int>(running_.size());
  load.waiting = static_cast<int>(waiting_.size());
  load.kv_used = cache_.tokens();
  for (const auto& [id, sequence] : running_) {
    load.kv_used += sequence.prompt.tokens + sequence.generated_tokens;
  }
  load.capacity = options_.kv_capacity_tokens;
  return load;
}

std::vector<SequenceId> EngineModel::RemoveAll() {
  std::vector<SequenceId> aborted;
  for (const auto& [id, sequence] : running_) {
    aborted.push_back(id);
  }
  for (const auto& [id, sequence] : waiting_) {
    aborted.push_back(id);
  }
  running_.clear();
  waiting_.clear();
  cache_.Clear();
  return aborted;
}

}  // namespace carawayrelay::tools
