#pragma once

#include "process/pace/server_pace.h"

namespace carawayrelay {

// What a frontend knows about a backend server that could run a request.
struct CandidateState {
  // Running and waiting requests, without the new one.
  double load = 0;
  int slots = 1;
  PaceEstimate pace;
  bool is_in_other_zone = false;
  bool is_cold = false;
  // Failed a short time ago.
  bool is_avoided = false;
  // Is in slow start and has reached its limit.
  bool is_limited = false;
};

// Returns the expected time to the first event and the risk of a long pause, as
// the share of slots in use at which a backend server of the usual pace has the
// same time, plus penalties. Lower is better. At the usual pace the result is
// the share of slots in use plus penalties.
double CandidateCost(const CandidateState& candidate);

}  // namespace carawayrelay
