#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "connection/rate_message.h"
#include "process/limits/rate_members.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Which frontend holds the rates of each shard, as far as this frontend knows.
// Holders ask the others for loans regularly. The holder of a shard is the one
// that ranks highest among those that ask this frontend; when none above this
// one has asked for a while, this frontend is the holder itself.
//
// Frontends may disagree on the holder. Then each holder has the loans of those
// that agree with it (see RateLender).
//
// Used on the event loop thread.
class RateHolders {
 public:
  // How holders are heard.
  struct Timing {
    // Between two requests of a holder for loans.
    std::chrono::milliseconds request_interval{0};
    // Without a request for this long, a holder has left.
    std::chrono::milliseconds silence_limit{0};
  };

  // `node` is the name of this frontend. `members` must outlive this object.
  RateHolders(std::string node, const RateMembers& members)
      : node_(std::move(node)), members_(members) {}

  // Must be called first, and again when the number of frontends changes.
  void SetTiming(const Timing& timing) { timing_ = timing; }
  const Timing& timing() const { return timing_; }
  // Records a request for loans. Returns the shards of which its sender is the
  // holder.
  RateShardSet NoteRequest(const std::string& node,
                           const RateShardSet& shards,
                           TimePoint now);
  // Records that a frontend holds the shards no more. The next in order takes
  // its place without waiting for its silence.
  void NoteReturn(const std::string& node,
                  const RateShardSet& shards,
                  TimePoint now);
  // Records that a holder does not answer: its requests are ignored for a
  // while.
  void NoteSilent(const std::string& node, TimePoint now);
  // From now on this frontend holds nothing.
  void Leave() { is_leaving_ = true; }

  // Returns the shards that this frontend holds.
  RateShardSet Own(TimePoint now);
  // Returns the node of the holder, or nullopt if none is known.
  std::optional<std::string> HolderOf(size_t shard, TimePoint now);

 private:
  struct Shard {
    std::string holder;  // highest that asked; empty before the first request
    TimePoint asked_at{};
    // When a frontend that ranks above this one asked last, or when this
    // frontend began to listen.
    TimePoint better_asked_at{};
  };

  bool IsLive(const Shard& shard, TimePoint now) const;
  bool IsOwn(size_t shard, TimePoint now);

  const std::string node_;
  const RateMembers& members_;
  Timing timing_;
  std::optional<TimePoint> began_at_;
  std::array<Shard, kRateShards> shards_;
  std::map<std::string, TimePoint> ignored_until_;
  bool is_leaving_ = false;
};

}  // namespace carawayrelay
