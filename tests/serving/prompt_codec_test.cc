#include "platform/prompt_codec.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayrelay {
namespace {

struct PromptCodecFixture {
  static PromptParts Decode(const std::string& text) {
    return platform::DecodeSharedPromptParts(
        {{"x-other", "1"}, {"x-carawayrelay-prompt-prefix", text}});
  }
};

// Guards against taking the part that belongs to one request alone for a part
// that others share.
TEST_CASE_FIXTURE(PromptCodecFixture,
                  "DecodeSharedPromptParts, three parts, omits the last one") {
  CHECK(Decode("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        PromptParts{"5c1e07a2", "91bd3f06"});
  CHECK(Decode("5c1e07a2:800").empty());
  CHECK(Decode("").empty());
  CHECK(platform::DecodeSharedPromptParts({}).empty());
}

// Guards against keeping what a client sends without a limit.
TEST_CASE_FIXTURE(PromptCodecFixture,
                  "DecodeSharedPromptParts, malformed parts, omits them") {
  CHECK(Decode(",:3,no id:4,5c:1,ff:2") == PromptParts{"5c"});
  CHECK(Decode(std::string(1000, 'a') + ":1,b:1,c:1") == PromptParts{"b"});
  std::string many;
  for (int i = 0; i < 1000; ++i) {
    many += "a" + std::to_string(i) + ":1,";
  }
  CHECK(Decode(many).size() == 64);
}

// Guards against crashes that are not counted because their part stands far
// back in a long prompt, or is written in other letters by another client.
TEST_CASE_FIXTURE(PromptCodecFixture,
                  "DecodeSharedPromptParts, many parts, all are kept") {
  std::string value;
  for (int i = 0; i < 60; ++i) {
    value += "ab" + std::to_string(10 + i) + ":5,";
  }
  value += "DEAD01:5,0a:1";
  const PromptParts parts = Decode(value);
  REQUIRE(parts.size() == 61);
  CHECK(parts.back() == "dead01");
}

}  // namespace
}  // namespace carawayrelay
