#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace carawayrelay {

// Checks a rapidcheck property in the current doctest case. The report of a
// failure contains the seed; RC_PARAMS="seed=N" repeats the run.
template <class Property>
void CheckProperty(const std::string& name, Property&& property) {
  CHECK_MESSAGE(rc::check(name, std::forward<Property>(property)), name);
}

}  // namespace carawayrelay
