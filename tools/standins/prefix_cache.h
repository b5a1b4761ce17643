#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayrelay::tools {

// Number of tokens in a block, the unit of caching.
inline constexpr int kBlockTokens = 16;

// Size and block hashes of a prompt. Each word counts as one token. A full
// block is identified by the hash of the prompt from its start to the end of
// the block, so blocks are equal only if everything before them is equal too.
struct PromptShape {
  int tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;
};

PromptShape ComputePromptShape(std::string_view prompt);

// Cache of prompt blocks with a limited size. The least recently used block is
// evicted first. Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(int capacity_tokens)
      : capacity_blocks_(static_cast<size_t>(capacity_tokens / kBlockTokens)) {}

  // Returns the number of leading tokens that were cached, and caches all full
  // blocks of the prompt.
  int Use(const PromptShape& prompt);
  void Clear();
  int tokens() const {
    return static_cast<int>(recency_list_.size()) * kBlockTokens;
  }

 private:
  size_t capacity_blocks_;
  // Most recently used first.
  std::list<std::uint64_t> recency_list_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

}  // namespace carawayrelay::tools
