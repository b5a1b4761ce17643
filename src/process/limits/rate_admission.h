#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "connection/rate_message.h"
#include "process/limits/rate_holder.h"
#include "process/limits/rate_members.h"
#include "request/token_bucket.h"
#include "version/serving_config.h"

namespace carawayrelay {

// The request is within the rate of its workspace.
struct RateAdmitted {};
// The workspace is over its rate.
struct RateExceeded {
  std::chrono::milliseconds retry_after{0};
};
// This frontend does not know the other frontends yet.
struct RateUnavailable {};
using RateVerdict = std::variant<RateAdmitted, RateExceeded, RateUnavailable>;

// Keeps the rates of workspaces over all frontends together: asks the holder of
// a workspace's rate about each request, and answers the queries of others.
//
// A query without an answer is sent once more, and then the next holder in
// order is asked. When none of them answers, the request counts against this
// frontend's equal part of the rate.
//
// Used on the event loop thread.
class RateAdmission {
 public:
  using VerdictCallback = std::function<void(const RateVerdict&)>;
  // Sends a message to the frontend at `address`. It may be lost.
  using MessageSender =
      std::function<void(const std::string& address, const RateMessage&)>;

  // `node` is the name of this frontend.
  RateAdmission(std::string node, std::uint64_t seed, MessageSender send)
      : node_(std::move(node)), random_(seed), send_(std::move(send)) {}

  void SetConfig(const ServingConfigPtr& config);
  // Decides whether a request of the workspace may run. Calls `done` once, from
  // this call or later.
  void Admit(const ServingWorkspace& workspace,
             TimePoint now,
             VerdictCallback done);
  // Handles a message from the frontend at `address`.
  void HandleMessage(const std::string& address,
                     const RateMessage& message,
                     TimePoint now);
  // Repeats queries that got no answer in time.
  void Tick(TimePoint now);
  // When Tick() has something to do next.
  std::optional<TimePoint> NextTimeout() const;

  RateMembers& members() { return members_; }
  const RateMembers& members() const { return members_; }
  RateHolder& holder() { return holder_; }

  struct Counters {
    std::uint64_t asked = 0;     // requests that another frontend decided
    std::uint64_t repeated = 0;  // queries sent again
    std::uint64_t alone = 0;     // requests that no holder decided
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Query {
    std::string workspace;
    double rate_per_second = 0;
    double burst = 0;
    VerdictCallback done;
    RateMembers::Holder holder;  // asked last
    int holders_asked = 0;
    int sends_to_holder = 0;
    TimePoint timeout_at{};
  };

  // Asks the best holder that is not known to be silent.
  void AskNextHolder(RateRequestId id, Query query, TimePoint now);
  void SendQuery(RateRequestId id, Query query, TimePoint now);
  void Finish(const Query& query, const RateDecision& decision, TimePoint now);
  // Decides without a holder, by this frontend's part of the rate.
  RateVerdict DecideAlone(const Query& query, TimePoint now);

  const std::string node_;
  std::mt19937_64 random_;
  MessageSender send_;
  RateMembers members_{node_};
  RateHolder holder_{members_};
  std::map<RateRequestId, Query> queries_;
  std::map<std::string, TokenBucket> own_parts_;
  Counters counters_;
};

}  // namespace carawayrelay
