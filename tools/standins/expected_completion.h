#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayrelay::tools {

// Number of tokens that the engine stand-in generates for a request without
// max_tokens.
inline constexpr int kDefaultCompletionTokens = 16;

// Returns the seed of a completion: XXH3 (64 bits, seed 0) of the model name, a
// line feed and the prompt. The prompt is the `content` of all messages joined
// by line feeds.
inline std::uint64_t CompletionSeed(std::string_view model,
                                    std::string_view prompt) {
  std::string text(model);
  text += '\n';
  text += prompt;
  return XXH3_64bits(text.data(), text.size());
}

// Returns token `index` (from 0) of a completion: six lower-case letters from
// the splitmix64 output for seed + index, lowest bits first. A space precedes
// every token except the first.
inline std::string CompletionToken(std::uint64_t seed, int index) {
  std::uint64_t mixed =
      seed + 0x9e3779b97f4a7c15U * (static_cast<std::uint64_t>(index) + 1);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  mixed ^= mixed >> 31U;
  std::string token = index == 0 ? "" : " ";
  for (int letter = 0; letter < 6; ++letter) {
    token += static_cast<char>('a' + mixed % 26);
    mixed /= 26;
  }
  return token;
}

// Returns the complete text that the engine stand-in generates for a prompt.
inline std::string ExpectedCompletion(std::string_view model,
                                      std::string_view prompt,
                                      int tokens) {
  const std::uint64_t seed = CompletionSeed(model, prompt);
  std::string completion;
  for (int index = 0; index < tokens; ++index) {
    completion += CompletionToken(seed, index);
  }
  return completion;
}

// Returns the hash that stands for a prompt in the history of the engine
// stand-in: the seed of its completion as 16 hexadecimal digits.
inline std::string PromptHash(std::string_view model, std::string_view prompt) {
  static constexpr char kDigits[] = "0123456789abcdef";
  const std::uint64_t seed = CompletionSeed(model, prompt);
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(seed >> static_cast<unsigned>(shift)) & 15U];
  }
  return text;
}

}  // namespace carawayrelay::tools
