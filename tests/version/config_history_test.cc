#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "property.h"

namespace carawayrelay {
namespace {

struct ConfigHistoryFixture {
  ConfigHistory history;

  static ConfigPtr Make(std::uint64_t version, const std::string& zone) {
    ConfigDocument document;
    document.zones_out = {zone};
    return ConfigSnapshot::Make(ConfigVersion{version}, ToJson(document))
        .value();
  }
};

// Guards against an old version that becomes current again, for example from a
// restored store or from a peer that was disconnected (I13).
TEST_CASE_FIXTURE(ConfigHistoryFixture,
                  "ConfigHistory, versions in any order, never reverts") {
  CheckProperty("never reverts", [](const std::vector<std::uint8_t>& versions) {
    ConfigHistory any_order;
    std::uint64_t highest = 0;
    for (const std::uint8_t version : versions) {
      const auto adopted = any_order.Adopt(Make(version, "z"));
      RC_ASSERT(adopted.has_value());
      RC_ASSERT(adopted.value() == (version > highest));
      highest = std::max<std::uint64_t>(highest, version);
      RC_ASSERT(ToInt(any_order.version()) == highest);
    }
  });
}

// Guards against processes that use different documents under one version.
TEST_CASE_FIXTURE(ConfigHistoryFixture,
                  "ConfigHistory, same version with other content, fails") {
  REQUIRE(history.Adopt(Make(3, "a")));
  CHECK(history.Adopt(Make(3, "a")).value() == false);
  CHECK(history.Adopt(Make(3, "b")).error().code == ErrorCode::kConflict);
  CHECK(history.current()->IsZoneOut("a"));
}

}  // namespace
}  // namespace carawayrelay
