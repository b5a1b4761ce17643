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

// Simulates the HTTP interface of a model engine. README.md describes it. Runs
// on the thread of StandinServer::Run().
class EngineStandin {
 public:
  struct Options {
    EngineModel::Options model;
    // Age of the values that `GET /load` reports.
    std::chrono::milliseconds load_lag{200};
    // Whether a fencing number below the highest one received for its scope is
    // rejected. If false, the numbers are only recorded.
    bool check_fence = false;
  };

  EngineStandin(const Options& options,
                const EventLog& log,
                StandinServer& server);

  void Handle(const HttpCall& call);

 private:
  // A request that the engine runs or queues.
  struct Stream {
    HttpExchangePtr exchange;
    std::string id;
    std::string model;
    std::string prompt_hash;
    std::uint64_t seed = 0;
    int prompt_tokens = 0;
    // False for a request that gets its completion in a single response.
    bool is_streamed = false;
    int sent_tokens = 0;
    // The connection is aborted in place of sending the token with this index.
    std::optional<int> break_before;
    // Completion generated so far. Used only if `is_streamed` is false.
    std::string content;
  };
  // Request id and token in an event or response. Under the fault
  // `cross_answers` they belong to another request.
  struct EventContent {
    std::string id;
    std::string token;
  };

  void HandleChat(const HttpCall& call);
  void HandleControl(const HttpCall& call);
  // Returns false if the fencing number is stale; the rejection has been sent
  // then.
  bool CheckFencingNumber(const HttpCall& call, const std::string& id);
  // Whether the prompt contains a text of the control field `fail_prompts`.
  bool MustFail(const std::string& prompt) const;
  void StartRequest(const HttpCall& call,
                    Stream stream,
                    const std::string& prompt,
                    int completion_tokens);
  // Closes the connections without the rest of the completion. `cause` is
  // written to the history.
  void AbortStreams(const std::vector<SequenceId>& aborted, const char* cause);
  void StartStep();
  void FinishStep();
  // Cancels the requests whose clients closed the connection.
  void RemoveDisconnectedStreams();
  void EmitToken(const EngineModel::Token& token);
  void EmitStreamed(Stream& stream, const EngineModel::Token& token);
  // Appends the token to the completion, and sends the completion after its
  // last token.
  void EmitBuffered(Stream& stream, const EngineModel::Token& token);
  // Counts down `cross_answers` if it is set.
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
  // Prompts that contain one of these texts fail.
  std::vector<std::string> fail_prompts_;
  // Events that are still to be sent with the content of another request.
  int cross_answers_ = 0;
  // Requests that are still to be aborted after half of their tokens.
  int break_streams_ = 0;
  // For ids of requests without an X-Request-Id.
  std::uint64_t last_generated_id_ = 0;
};

}  // namespace carawayrelay::tools
