#include <doctest/doctest.h>

#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct WireCodecFixture {
  template <class T>
  T RoundTrip(const T& message) {
    const Result<Message> decoded = Decode(Encode(message));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<T>(decoded.value()));
    return std::get<T>(decoded.value());
  }
};

// Guards against losing the fence of a batch item in encoding.
TEST_CASE_FIXTURE(WireCodecFixture,
                  "WireCodec, batch Submit, keeps the chunk and fence") {
  const Submit sent{
      .attempt = AttemptId{7},
      .workspace = "w",
      .route = "r",
      .body = std::string("\0x", 2),
      .chunk = ChunkRef{.job = "j", .chunk = 3, .fence = Fence{9}}};
  const Submit got = RoundTrip(sent);
  CHECK(got.body == sent.body);
  REQUIRE(got.chunk);
  CHECK(got.chunk->job == "j");
  CHECK(got.chunk->fence == Fence{9});
}

// Guards against changing the code or run state of a refusal in encoding.
TEST_CASE_FIXTURE(WireCodecFixture,
                  "WireCodec, any Refused, keeps code and run state") {
  CheckProperty("refused round trip", [this] {
    const Refused sent{
        .attempt = AttemptId{*rc::gen::arbitrary<std::uint64_t>()},
        .refusal = {.code = static_cast<RefusalCode>(*rc::gen::inRange(
                        0, static_cast<int>(RefusalCode::kInternal) + 1)),
                    .run_state = static_cast<RunState>(*rc::gen::inRange(0, 3)),
                    .reason = *rc::gen::arbitrary<std::string>(),
                    .retry_after = {}}};
    const Refused got = RoundTrip(sent);
    RC_ASSERT(got.attempt == sent.attempt);
    RC_ASSERT(got.refusal.code == sent.refusal.code);
    RC_ASSERT(got.refusal.run_state == sent.refusal.run_state);
    RC_ASSERT(got.refusal.reason == sent.refusal.reason);
    RC_ASSERT(!got.refusal.retry_after);
  });
}

// Guards against a crash or an endless loop on malformed input from a peer.
TEST_CASE_FIXTURE(WireCodecFixture,
                  "WireCodec, arbitrary bytes, never crashes") {
  CheckProperty("decode survives", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    (void)Decode(bytes);
  });
}

}  // namespace
}  // namespace carawayrelay
