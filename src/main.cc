#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "carawayrelay/process.h"

DEFINE_string(settings, "", "settings file of the process");

int main(int argc, char** argv) {
  gflags::SetVersionString(RELAY_VERSION);
  gflags::SetUsageMessage("carawayrelay <subcommand> [options]");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "entry") {
    return carawayrelay::RunEntry(FLAGS_settings);
  }
  std::fprintf(stderr, "usage: carawayrelay entry --settings=FILE\n");
  return 2;
}
