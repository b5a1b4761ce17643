#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "harness/demo.h"
#include "harness/soak.h"

DEFINE_int32(online, 240, "demo: total number of online requests");
DEFINE_int32(concurrency,
             12,
             "demo: largest number of concurrent online requests");
DEFINE_int32(items, 120, "demo: number of items in the batch job");
DEFINE_uint64(first_seed, 1, "soak: seed of the first run");
DEFINE_int32(seeds, 10, "soak: number of runs; each uses the next seed");
DEFINE_int32(lanes, 4, "soak: number of runs that execute concurrently");
DEFINE_bool(keep, false, "demo: leave the fleet running until Ctrl-C");

namespace carawayrelay::tools {
namespace {

int RunDemo(const std::string& program_directory, StopSignal& stop) {
  Demo::Options options;
  options.program_directory = program_directory;
  options.online_requests = FLAGS_online;
  options.concurrency = FLAGS_concurrency;
  options.batch_items = FLAGS_items;
  options.keep_running = FLAGS_keep;
  return Demo(std::move(options)).Run(stop);
}

int Main(int argc, char** argv) {
  StopSignal stop;
  gflags::SetUsageMessage("demo|soak [flags]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string subcommand = argc == 2 ? argv[1] : "";
  const std::string program_directory =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  if (subcommand == "demo") {
    return RunDemo(program_directory, stop);
  }
  if (subcommand == "soak") {
    return RunSoak({.program_directory = program_directory,
                    .first_seed = FLAGS_first_seed,
                    .seeds = FLAGS_seeds,
                    .lanes = FLAGS_lanes},
                   stop);
  }
  std::fprintf(stderr, "usage: %s %s\n", argv[0], gflags::ProgramUsage());
  return 2;
}

}  // namespace
}  // namespace carawayrelay::tools

int main(int argc, char** argv) {
  return carawayrelay::tools::Main(argc, argv);
}
