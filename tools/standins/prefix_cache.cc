#include "standins/prefix_cache.h"

#include <xxhash.h>

namespace carawayrelay::tools {

PromptShape ComputePromptShape(std::string_view prompt) {
  constexpr std::string_view kSpaces = " \t\r\n";
  PromptShape shape;
  size_t end = 0;
  while (true) {
    const size_t start = prompt.find_first_not_of(kSpaces, end);
    if (start == std::string_view::npos) {
      return shape;
    }
    end = prompt.find_first_of(kSpaces, start);
    if (end == std::string_view::npos) {
      end = prompt.size();
    }
    if (++shape.tokens % kBlockTokens == 0) {
      shape.prefix_hashes.push_back(XXH3_64bits(prompt.data(), end));
    }
  }
}

int PrefixCache::Use(const PromptShape& prompt) {
  size_t cached = 0;
  while (cached < prompt.prefix_hashes.size() &&
         index_.contains(prompt.prefix_hashes[cached])) {
    ++cached;
  }
  // Blocks are marked as used from the last to the first, so that the start of
  // a prompt is evicted last: later blocks are useless without it.
  for (auto hash = prompt.prefix_hashes.rbegin();
       hash != prompt.prefix_hashes.rend(); ++hash) {
    const auto found = index_.find(*hash);
    if (found != index_.end()) {
      recency_list_.splice(recency_list_.begin(), recency_list_, found->second);
      continue;
    }
    recency_list_.push_front(*hash);
    index_[*hash] = recency_list_.begin();
  }
  while (recency_list_.size() > capacity_blocks_) {
    index_.erase(recency_list_.back());
    recency_list_.pop_back();
  }
  return static_cast<int>(cached) * kBlockTokens;
}

void PrefixCache::Clear() {
  recency_list_.clear();
  index_.clear();
}

}  // namespace carawayrelay::tools
