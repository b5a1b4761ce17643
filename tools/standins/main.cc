#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <string_view>
#include <variant>

#include "standins/engine_standin.h"
#include "standins/platform_backend_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"

DEFINE_string(listen, "", "IP:port to serve HTTP on");
DEFINE_string(name, "", "process name in the history; default: the subcommand");

DEFINE_int32(writes_per_second, 400, "platform: limit of writes per second");
DEFINE_int32(reads_per_second, 2000, "platform: limit of reads per second");
DEFINE_int32(entries_lag_ms, 500, "platform: delay of tables set by control");

DEFINE_int32(step_base_us, 5000, "engine: base time of a step");
DEFINE_int32(step_per_sequence_us, 200, "engine: step time per sequence");
DEFINE_int32(prefill_per_token_us, 50, "engine: step time per prompt token");
DEFINE_int32(max_running, 32, "engine: maximum number of running sequences");
DEFINE_int32(cache_tokens, 20000, "engine: size of the prefix cache in tokens");
DEFINE_int32(cold_capacity, 4, "engine: more sequences crash it when cold");
DEFINE_int32(cold_ms, 3000, "engine: duration of a cold start");
DEFINE_double(cold_slowdown, 20, "engine: factor on the step time when cold");
DEFINE_int32(recovery_ms, 2000, "engine: time of rejections after a crash");
DEFINE_int32(load_lag_ms, 200, "engine: age of the values in the load report");
DEFINE_bool(check_fence, false, "engine: reject stale fencing numbers");

DEFINE_int32(work_ms, 2, "service: time that each request takes");

DEFINE_string(runner_id, "", "runner: id of this backend server instance");
DEFINE_int32(slots, 8, "runner: number of slots for concurrent requests");
DEFINE_int32(step_ms, 20, "runner: time between two events");

namespace carawayrelay::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

using StandinOptions = std::variant<PlatformStandin::Options,
                                    EngineStandin::Options,
                                    ServiceStandin::Options,
                                    PlatformBackendStandin::Options>;

EngineStandin::Options EngineOptions() {
  EngineStandin::Options options;
  options.model.step_base = microseconds(FLAGS_step_base_us);
  options.model.step_per_sequence = microseconds(FLAGS_step_per_sequence_us);
  options.model.prefill_per_token = microseconds(FLAGS_prefill_per_token_us);
  options.model.max_running = FLAGS_max_running;
  options.model.cache_tokens = FLAGS_cache_tokens;
  options.model.cold_capacity = FLAGS_cold_capacity;
  options.model.cold_time = milliseconds(FLAGS_cold_ms);
  options.model.cold_slowdown = FLAGS_cold_slowdown;
  options.model.recovery_time = milliseconds(FLAGS_recovery_ms);
  options.load_lag = milliseconds(FLAGS_load_lag_ms);
  options.check_fence = FLAGS_check_fence;
  return options;
}

std::optional<StandinOptions> ParseSubcommand(std::string_view subcommand) {
  if (subcommand == "platform") {
    return PlatformStandin::Options{
        {FLAGS_writes_per_second, FLAGS_reads_per_second},
        milliseconds(FLAGS_entries_lag_ms)};
  }
  if (subcommand == "engine") {
    return EngineOptions();
  }
  if (subcommand == "service") {
    return ServiceStandin::Options{milliseconds(FLAGS_work_ms)};
  }
  if (subcommand == "runner") {
    return PlatformBackendStandin::Options{.id = FLAGS_runner_id,
                                           .slots = FLAGS_slots,
                                           .step = milliseconds(FLAGS_step_ms)};
  }
  return std::nullopt;
}

template <class Standin, class Options>
void RunStandin(const Options& options,
                const EventLog& log,
                StandinServer& server) {
  Standin standin(options, log, server);
  log.Write("ready", {{"address", FLAGS_listen}});
  server.Run([&](HttpCall call) { standin.Handle(std::move(call)); });
  log.Write("stopped", nlohmann::json::object());
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "platform|engine|service|runner --listen IP:port [flags]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string subcommand = argc == 2 ? argv[1] : "";
  const std::optional<StandinOptions> standin_options =
      ParseSubcommand(subcommand);
  if (!standin_options || FLAGS_listen.empty()) {
    std::fprintf(stderr, "usage: %s %s\n", argv[0], gflags::ProgramUsage());
    return 2;
  }
  Result<std::unique_ptr<StandinServer>> server =
      StandinServer::Make(FLAGS_listen);
  if (!server) {
    std::fprintf(stderr, "%s: %s\n", FLAGS_listen.c_str(),
                 server.error().message.c_str());
    return 1;
  }
  const EventLog log(FLAGS_name.empty() ? subcommand : FLAGS_name);
  std::visit(Overloaded{
                 [&](const PlatformStandin::Options& options) {
                   RunStandin<PlatformStandin>(options, log, *server.value());
                 },
                 [&](const EngineStandin::Options& options) {
                   RunStandin<EngineStandin>(options, log, *server.value());
                 },
                 [&](const ServiceStandin::Options& options) {
                   RunStandin<ServiceStandin>(options, log, *server.value());
                 },
                 [&](const PlatformBackendStandin::Options& options) {
                   RunStandin<PlatformBackendStandin>(options, log,
                                                      *server.value());
                 },
             },
             *standin_options);
  return 0;
}

}  // namespace
}  // namespace carawayrelay::tools

int main(int argc, char** argv) {
  return carawayrelay::tools::Main(argc, argv);
}
