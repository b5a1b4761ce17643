#include "process/transport/memory_limits.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>

namespace carawayrelay {
namespace {

struct MemoryLimitsFixture {
  static constexpr size_t kMegabyte = size_t{1} << 20;
  static constexpr size_t kBodyBytes = 8 * kMegabyte;
  // Buffers and objects of a connection.
  static constexpr size_t kConnectionBytes = size_t{36} << 10;

  Findings findings;

  MemoryLimits Read(const std::string& text) {
    const auto json = nlohmann::json::parse(text);
    JsonReader reader(json, "", findings);
    return ReadMemoryLimits(reader, kBodyBytes, findings);
  }
};

// Guards against parts that together are larger than the memory of the process.
TEST_CASE_FIXTURE(MemoryLimitsFixture,
                  "MemoryLimits, memory of any VM, parts fit into it") {
  constexpr size_t kOwnBytes = 17 * kMegabyte;
  for (const int megabytes : {88, 160, 280, 512, 4096}) {
    CAPTURE(megabytes);
    const MemoryLimits limits =
        Read(R"({"memory_mb":)" + std::to_string(megabytes) + "}");
    CHECK(kOwnBytes + limits.request_bytes + limits.response_bytes +
              limits.max_connections * kConnectionBytes <
          static_cast<size_t>(megabytes) * kMegabyte);
  }
  CHECK(findings.empty());
}

// Guards against a process that takes the VM for its own.
TEST_CASE_FIXTURE(MemoryLimitsFixture,
                  "MemoryLimits, memory not set, leaves half of the VM") {
  const auto vm_bytes = static_cast<size_t>(sysconf(_SC_PHYS_PAGES)) *
                        static_cast<size_t>(sysconf(_SC_PAGESIZE));
  CHECK(Read("{}").memory_bytes <= vm_bytes / 2);
  CHECK(DefaultMemoryLimits(kBodyBytes).memory_bytes <= vm_bytes / 2);
}

// Guards against a request within the configured limits that never fits.
TEST_CASE_FIXTURE(MemoryLimitsFixture,
                  "MemoryLimits, large body configured, fits up to half of the "
                  "memory") {
  const MemoryLimits limits = Read(R"({"memory_mb":88})");
  CHECK(RequestBytesFor(limits, kBodyBytes) == limits.request_bytes);
  CHECK(RequestBytesFor(limits, 40 * kMegabyte) > 40 * kMegabyte);
  CHECK(RequestBytesFor(limits, 400 * kMegabyte) == 44 * kMegabyte);
}

}  // namespace
}  // namespace carawayrelay
