#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "harness/api_client.h"
#include "harness/fleet.h"
#include "harness/latency_summary.h"
#include "harness/test_key.h"

namespace carawayrelay::tools {

// Starts a small fleet, sends online requests, one batch job and requests to a
// plain service, checks every response and prints a summary.
class Demo {
 public:
  struct Options {
    // Directory with the carawayrelay and carawayrelay-standins programs.
    std::string program_directory;
    int online_requests = 240;
    int concurrency = 12;
    int batch_items = 120;
    // Leave the fleet running after the checks until SIGINT or SIGTERM.
    bool keep_running = false;
  };

  explicit Demo(Options options) : options_(std::move(options)) {}

  // Returns the exit status: 0 only when every response was correct and every
  // process exited with status 0 after SIGTERM.
  int Run(StopSignal& stop);

 private:
  struct OnlineOutcome {
    ChatCall call;
    CallOutcome<ChatResponse> outcome;
  };

  Result<void> RunFleet(ProcessGroup& processes,
                        CurlHttpClient& http,
                        StopSignal& stop);
  void RunWorkload(Fleet& fleet, CurlHttpClient& http, StopSignal& stop);
  ConfigDocument MakeConfig() const;
  ChatCall OnlineCall(int index) const;
  void RunOnline(Fleet& fleet, CurlHttpClient& http, StopSignal& stop);
  void CheckOnline(const OnlineOutcome& finished);
  std::string BatchPrompt(int index) const;
  std::string SubmitBatch(ApiClient& client);
  void AwaitAndCheckBatch(ApiClient& client,
                          const std::string& id,
                          StopSignal& stop);
  void CheckBatchLine(const nlohmann::json& line, std::vector<int>& seen);
  void SendOrders(ApiClient& client);
  void CheckOrderHistory(const ProcessGroup& processes);
  void PrintTrace(Fleet& fleet, StopSignal& stop);
  void PrintAddresses(const Fleet& fleet) const;
  // Counts a wrong response or a failure, and prints the first ones.
  void AddProblem(const std::string& text);

  Options options_;
  TestKey online_key_ = MakeTestKey("demo-online", "online-team");
  TestKey batch_key_ = MakeTestKey("demo-batch", "batch-team");
  LatencySummary first_token_latencies_;
  LatencySummary inter_token_latencies_;
  int correct_online_ = 0;
  int correct_batch_ = 0;
  int correct_orders_ = 0;
  int problems_ = 0;
};

}  // namespace carawayrelay::tools
