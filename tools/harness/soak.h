#pragma once

#include <cstdint>
#include <string>

#include "harness/stop_signal.h"

namespace carawayrelay::tools {

struct SoakOptions {
  // Directory with the programs.
  std::string program_directory;
  std::uint64_t first_seed = 1;
  int seeds = 10;
  // Soaks that run beside each other.
  int lanes = 4;
};

// Runs one soak for each seed: the real programs as processes on loopback,
// under load, with faults that follow from the seed, and checks of what clients
// and backend servers see. Prints a line for each seed. Returns the exit
// status: 0 only when all passed.
int RunSoak(const SoakOptions& options, StopSignal& stop);

}  // namespace carawayrelay::tools
