#pragma once

#include <variant>

#include "request/boot_clock.h"

namespace carawayrelay {

// The backend server gets requests like the others.
struct ServerInUse {};

// The backend server fails a part of its requests and is chosen less often.
struct ServerReduced {
  double weight = 1;  // above 0 and below 1; fraction of the usual requests
};

// The backend server gets requests only if there is no other.
struct ServerEjected {
  TimePoint until{};
};

// The ejection is over, and no request has shown yet whether the backend server
// answers again.
struct ServerProbing {
  TimePoint since{};
};

// What the selection of backend servers does with one of them.
using ServerHealth =
    std::variant<ServerInUse, ServerReduced, ServerEjected, ServerProbing>;

}  // namespace carawayrelay
