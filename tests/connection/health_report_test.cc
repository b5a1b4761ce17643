#include "connection/health_report.h"

#include "connection/rate_message.h"
#include "property.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

struct HealthReportFixture {
  // Takes ten bytes as a signed varint.
  static constexpr std::uint64_t kLongestOnWire = 1ull << 63;

  static HealthReport MakeReport(size_t servers) {
    HealthReport report{.reporter = "frontend-1",
                        .process = kLongestOnWire,
                        .sequence = kLongestOnWire,
                        .age = kHealthEvidenceWindow};
    for (size_t i = 0; i < servers; ++i) {
      report.servers.push_back({.server = ServerKey{kLongestOnWire + i},
                                .answers = 1'000'000,
                                .failures = 999'999,
                                .answer_age = kHealthEvidenceWindow,
                                .failure_age = milliseconds(9999)});
    }
    return report;
  }
};

// Guards against fields that get lost between two frontends.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, written and read, is the same") {
  const auto read = DecodeHealthMessage(EncodeHealthMessage({{MakeReport(2)}}));
  REQUIRE(read);
  REQUIRE(read.value().reports.size() == 1);
  const HealthReport& report = read.value().reports[0];
  const HealthReport expected = MakeReport(2);
  CHECK(report.reporter == expected.reporter);
  CHECK(report.process == expected.process);
  CHECK(report.sequence == expected.sequence);
  CHECK(report.age == expected.age);
  REQUIRE(report.servers.size() == 2);
  CHECK(report.servers[1].server == expected.servers[1].server);
  CHECK(report.servers[1].answers == expected.servers[1].answers);
  CHECK(report.servers[1].failures == expected.servers[1].failures);
  CHECK(report.servers[1].answer_age == expected.servers[1].answer_age);
  CHECK(report.servers[1].failure_age == expected.servers[1].failure_age);
}

// Guards against a process of an earlier version that takes a health message
// for one about rates, and against the reverse.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, read as rate message, is rejected") {
  const std::string health = EncodeHealthMessage({{MakeReport(2)}});
  CHECK(IsHealthMessage(health));
  CHECK_FALSE(DecodeRateMessage(health));
  const std::string rate =
      EncodeRateMessage(RateRequest{.id = RateRequestId{1}, .workspace = "w"});
  CHECK_FALSE(IsHealthMessage(rate));
  CHECK_FALSE(DecodeHealthMessage(rate));
  CHECK_FALSE(IsHealthMessage(""));
}

// Guards against messages over the limit: the sender counts with this bound.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, largest values, size is within the bound") {
  for (size_t servers = 0; servers <= 36; ++servers) {
    const HealthReport report = MakeReport(servers);
    const HealthMessage message{{report, report, report}};
    CHECK(EncodeHealthMessage(message).size() <=
          kHealthMessageHeadBytes + 3 * MaxEncodedBytes(report));
  }
}

// Guards against counts and ages out of range that reach the judgement.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, values out of range, is rejected") {
  const auto is_rejected = [](const auto& change) {
    HealthReport report = MakeReport(1);
    change(report);
    return !DecodeHealthMessage(EncodeHealthMessage({{report}}));
  };
  CHECK_FALSE(is_rejected([](HealthReport&) {}));
  CHECK(is_rejected([](HealthReport& r) { r.servers[0].answers = -1; }));
  CHECK(is_rejected([](HealthReport& r) { r.servers[0].failures = 1000001; }));
  CHECK(is_rejected(
      [](HealthReport& r) { r.servers[0].failure_age = milliseconds(-5); }));
  CHECK(is_rejected(
      [](HealthReport& r) { r.servers[0].answer_age = milliseconds(10001); }));
  CHECK(is_rejected([](HealthReport& r) { r.age = milliseconds(-1); }));
  CHECK(is_rejected([](HealthReport& r) { r.reporter.clear(); }));
  CHECK(is_rejected([](HealthReport& r) { r.reporter.assign(200, 'x'); }));
  CHECK(is_rejected([](HealthReport& r) { r = MakeReport(60); }));
}

// Guards against short datagrams that make the reader allocate gigabytes: a
// list that announces 2^31 - 1 reports, and one of as many entries.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, list announces more than it holds, is "
                  "rejected") {
  const std::string huge_list("\xfc\xff\xff\xff\xff\x07", 6);
  CHECK_FALSE(DecodeHealthMessage(std::string("\0\x15\x02\x19", 4) + huge_list +
                                  std::string(64, '\0')));
  CHECK_FALSE(
      DecodeHealthMessage(std::string("\0\x15\x02\x19\x1c\x18\x01r\x49", 9) +
                          huge_list + std::string(64, '\0')));
}

TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, other protocol version, is rejected") {
  std::string bytes = EncodeHealthMessage({{MakeReport(1)}});
  REQUIRE(bytes[2] == 2);  // version 1 as a signed varint
  bytes[2] = 4;
  const auto read = DecodeHealthMessage(bytes);
  REQUIRE_FALSE(read);
  CHECK(read.error().message.find("version 2") != std::string::npos);
}

// Guards against hostile bytes that end the process.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "HealthReport, random and damaged bytes, never throws") {
  CheckProperty("random bytes", [](std::string bytes) {
    (void)DecodeHealthMessage(bytes);
    (void)DecodeHealthMessage('\0' + bytes);
  });
  CheckProperty("damaged bytes", [](std::uint16_t position, char value) {
    std::string bytes = EncodeHealthMessage({{MakeReport(3), MakeReport(2)}});
    bytes[position % bytes.size()] = value;
    (void)DecodeHealthMessage(bytes);
    (void)DecodeHealthMessage(
        std::string_view(bytes).substr(0, position % bytes.size()));
  });
}

// Guards against a server that keeps the history of the process that had its
// id before.
TEST_CASE_FIXTURE(HealthReportFixture,
                  "ServerKey, next start under the same id, differs") {
  const BackendRegistration first{.id = "a", .started_at = milliseconds(5)};
  const BackendRegistration next{.id = "a", .started_at = milliseconds(6)};
  CHECK(ServerKeyOf(first) == ServerKeyOf(BackendRegistration(first)));
  CHECK(ServerKeyOf(first) != ServerKeyOf(next));
}

}  // namespace
}  // namespace carawayrelay
