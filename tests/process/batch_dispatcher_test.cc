#include "process/batch/batch_dispatcher.h"

#include <doctest/doctest.h>

#include "process/batch_model.h"
#include "property.h"

namespace carawayrelay {
namespace {

// Guards against lost, duplicate and late results when, at any point of an
// operation, entries are killed or paused, store responses or connections are
// lost, or jobs are cancelled.
TEST_CASE("BatchDispatcher, faults at any point, each item has one result") {
  CheckProperty("each accepted item has one visible result", [] {
    BatchModel model(*rc::gen::arbitrary<std::uint64_t>());
    model.CreateJob("cancel1", 13, 4);
    model.CreateJob("kept1", 60, 5);
    model.CreateJob("cancel2", 60, 5);
    model.CreateJob("kept2", 30, 3);
    for (int i = 0; i < 1000; ++i) {
      model.Step();
    }
    RC_ASSERT(model.Finish());
    RC_ASSERT(model.FindProblems() == std::vector<std::string>{});
  });
}

}  // namespace
}  // namespace carawayrelay
