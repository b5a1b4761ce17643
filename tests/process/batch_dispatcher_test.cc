#include "process/batch_dispatcher.h"

#include <doctest/doctest.h>

#include "process/batch_model.h"
#include "property.h"

namespace carawayrelay {
namespace {

// Guards against lost, doubled and late results when entries are killed and
// paused, write responses and connections are lost, and jobs are cancelled, at
// any point of an operation.
TEST_CASE("BatchDispatcher, faults at any point, gives each item one result") {
  CheckProperty("each accepted item has one visible result", [] {
    const auto bytes =
        *rc::gen::resize(4000, rc::gen::container<std::vector<std::uint8_t>>(
                                   4000, rc::gen::arbitrary<std::uint8_t>()));
    BatchModel model(bytes);
    model.CreateJob("alpha", 13, 4);
    model.CreateJob("beta", 30, 5);
    for (int i = 0; i < 600; ++i) {
      model.Step();
    }
    RC_ASSERT(model.Finish());
    RC_ASSERT(model.FindProblems() == std::vector<std::string>{});
  });
}

}  // namespace
}  // namespace carawayrelay
