#include "process/store/intent_record.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayrelay {
namespace {

struct IntentRecordFixture {
  RecordIntent request{.request = RequestId{7},
                       .workspace = "ws",
                       .key = "order-1",
                       .content_hash = "abc"};
  IntentRecord pending = NewIntent(request, "n1");
  StoredResponse response{.http_status = 200,
                          .content_type = "application/json",
                          .body = "{\"a\":\"\\u00e4\"}\n"};
};

// Guards against running a request again when its outcome is not known.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, pending, resend gets no response") {
  CHECK_FALSE(CanTakeOver(pending));
  const IntentExists exists = RespondToResend(pending, request);
  CHECK(exists.request == RequestId{7});
  CHECK(exists.same_content);
  CHECK_FALSE(exists.response.has_value());
}

// Guards against a stored response that differs from the original.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, done, resend gets the stored response") {
  const auto row =
      ParseIntentRecord(ToJson(CompletedIntent(pending, response)));
  REQUIRE(row);
  CHECK(row.value().state == IntentState::kDone);
  CHECK(row.value().nonce == "n1");
  CHECK_FALSE(CanTakeOver(row.value()));
  const IntentExists exists = RespondToResend(row.value(), request);
  REQUIRE(exists.response.has_value());
  CHECK(exists.response->http_status == 200);
  CHECK(exists.response->content_type == "application/json");
  CHECK(exists.response->body == response.body);
}

// Guards against sending the response of one request to another request with
// the same key.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, done with other content, gives no response") {
  request.content_hash = "other";
  const IntentExists exists =
      RespondToResend(CompletedIntent(pending, response), request);
  CHECK_FALSE(exists.same_content);
  CHECK_FALSE(exists.response.has_value());
}

// Guards against refusing all resends of a request that did not run.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, released, can be taken over") {
  const auto row = ParseIntentRecord(ToJson(ReleasedIntent(pending)));
  REQUIRE(row);
  CHECK(CanTakeOver(row.value()));
}

// Guards against running a request again when its response was too large to
// store.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, done without response, stays done") {
  const auto row =
      ParseIntentRecord(ToJson(CompletedIntent(pending, std::nullopt)));
  REQUIRE(row);
  CHECK_FALSE(CanTakeOver(row.value()));
  CHECK_FALSE(RespondToResend(row.value(), request).response.has_value());
}

// Guards against rows over the size limit and against altered binary responses.
TEST_CASE_FIXTURE(IntentRecordFixture,
                  "IntentRecord, large or binary response, is not storable") {
  CHECK(IsStorable(response));
  response.body = "\xff\xfe";
  CHECK_FALSE(IsStorable(response));
  response.body = std::string(kMaxStoredResponseBytes + 1, 'x');
  CHECK_FALSE(IsStorable(response));
}

// Guards against taking over a row that is damaged.
TEST_CASE("IntentRecord, damaged row, parse fails") {
  CHECK_FALSE(ParseIntentRecord("{"));
  CHECK_FALSE(ParseIntentRecord("{}"));
  CHECK_FALSE(ParseIntentRecord(
      R"({"state":"x","workspace":"w","key":"k","content_hash":"h","nonce":"n"})"));
}

}  // namespace
}  // namespace carawayrelay
