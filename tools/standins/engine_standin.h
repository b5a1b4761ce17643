#pragma once

#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/delivery_queue.h"
#include "standins/engine_model.h"
#include "standins/event_log.h"
#include "standins/lagged.h"
#include "standins/standin_server.h"

namespace carawayrelay::tools {

// A model engine as its HTTP interface shows it. Runs on the thread of
// StandinServer::Run().
class EngineStandin {
 public:
  struct Options {
    EngineModel::Options model;
    std::chrono::milliseconds load_lag{200};
    // Refuse fencing numbers that are lower than one seen before.
    bool check_fence = false;
  };

  EngineStandin(const Options& options,
                const EventLog& log,
                StandinServer& server);

  void Handle(const HttpCall& call);

 private:
  // One request in the engine.
  struct Stream {
    HttpExchangePtr exchange;
    std::string id;
    std::string model;
    std::string prompt_hash;
    std::uint64_t seed = 0;
    int prompt_tokens = 0;
    bool is_streamed = false;
    int sent_tokens = 0;
    // The connection is closed before this token.
    std::optional<int> break_before;
    // Answer so far, of a request that is not streamed.
    std::string content;
  };
  // What an event says about its request; of another one when it is crossed.
  struct EventContent {
    std::string id;
    std::string token;
  };

  void HandleChat(const HttpCall& call);
  void HandleControl(const HttpCall& call);
  // Returns false, after a reply, when the fencing number is refused.
  bool CheckFencingNumber(const HttpCall& call, const std::string& id);
  bool MustFail(const std::string& prompt) const;
  void StartRequest(const HttpCall& call,
                    Stream stream,
                    const std::string& prompt,
                    int completion_tokens);
  void AbortStreams(const std::vector<SequenceId>& aborted, const char* cause);
  void StartStep();
  void FinishStep();
  void RemoveDisconnectedStreams();
  void EmitToken(const EngineModel::Token& token);
  void EmitStreamed(Stream& stream, const EngineModel::Token& token);
  void EmitBuffered(Stream& stream, const EngineModel::Token& token);
  EventContent NextEventContent(const Stream& stream, int index);
  void UpdateLoad();

  Options options_;
  EventLog log_;
  EngineModel model_;
  asio::steady_timer step_timer_;
  DeliveryQueue deliveries_;
  Lagged<EngineModel::Load> load_;
  std::map<SequenceId, Stream> streams_;
  std::unordered_map<std::string, std::uint64_t> highest_fencing_numbers_;
  std::vector<std::string> fail_prompts_;
  int cross_answers_ = 0;
  int break_streams_ = 0;
  std::uint64_t last_generated_id_ = 0;
};

}  // namespace carawayrelay::tools
