#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawayrelay::tools {

// Tokens of a prompt that are cached together.
inline constexpr int kBlockTokens = 16;

// A prompt as the engine stand-in sees it: its words are its tokens, and each
// full block is named by a hash of the prompt up to the end of that block.
struct PromptShape {
  int tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;
};

PromptShape ComputePromptShape(std::string_view prompt);

// Blocks of prompt prefixes in limited memory; the least recently used block
// is evicted first.
class PrefixCache {
 public:
  explicit PrefixCache(int capacity_tokens)
      : capacity_blocks_(static_cast<size_t>(capacity_tokens / kBlockTokens)) {}

  // Returns the number of leading tokens that were cached and caches the rest.
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
