#pragma once

#include <cstdint>
#include <string>

#include "harness/stop_signal.h"

namespace carawayrelay::tools {

struct SoakOptions {
  // Directory with the carawayrelay and carawayrelay-standins programs.
  std::string program_directory;
  std::uint64_t first_seed = 1;
  int seeds = 10;
  // Number of soaks that run concurrently, each on a thread of its own.
  int lanes = 4;
};

// Runs one soak for each seed. A soak starts the real programs as processes on
// loopback, puts them under load, injects faults that follow from the seed, and
// checks what clients and backend servers see. Prints a line for each seed.
// Returns the exit status: 0 only when all seeds passed.
int RunSoak(const SoakOptions& options, StopSignal& stop);

}  // namespace carawayrelay::tools
