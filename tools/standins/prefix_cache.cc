#include "standins/prefix_cache.h"

#include <xxhash.h>

namespace carawayrelay::tools {

PromptShape ShapeOf(std::string_view prompt) {
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
         places_.contains(prompt.prefix_hashes[cached])) {
    ++cached;
  }
  // From the end, so that the start of a prefix is the last to be evicted.
  for (auto hash = prompt.prefix_hashes.rbegin();
       hash != prompt.prefix_hashes.rend(); ++hash) {
    const auto place = places_.find(*hash);
    if (place != places_.end()) {
      order_.splice(order_.begin(), order_, place->second);
      continue;
    }
    order_.push_front(*hash);
    places_[*hash] = order_.begin();
  }
  while (order_.size() > capacity_blocks_) {
    places_.erase(order_.back());
    order_.pop_back();
  }
  return static_cast<int>(cached) * kBlockTokens;
}

void PrefixCache::Clear() {
  order_.clear();
  places_.clear();
}

}  // namespace carawayrelay::tools
