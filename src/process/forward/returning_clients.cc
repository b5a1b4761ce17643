#include "process/forward/returning_clients.h"

#include <algorithm>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Time that passes between the decision of a client to send a request and its
// arrival here.
constexpr milliseconds kTolerance{20};
// Routes that no configuration holds any more are forgotten with the others.
constexpr size_t kMaxRoutes = 4096;

}  // namespace

bool ReturningClients::NoteRequest(const std::string& route,
                                   milliseconds time_left) {
  if (longest_by_route_.size() >= kMaxRoutes) {
    longest_by_route_.clear();
  }
  milliseconds& longest = longest_by_route_[route];
  longest = std::max(longest, time_left);
  return time_left + kTolerance < longest;
}

}  // namespace carawayrelay
