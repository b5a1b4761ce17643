#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection/rate_message.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// What one frontend tells the others in its row in the store.
struct RateMemberReport {
  std::string address;  // for datagrams, "IP:port"
  // Part of the shards that this frontend holds, relative to the others.
  double weight = 1;
  // Version of the store that the newest rows that it read reflect.
  std::uint64_t seen_version = 0;
  // All other frontends had seen its row when it was written.
  bool is_counted = false;
};

// The frontends that share the rates, according to their rows in the store.
//
// Each of them owns an equal part of every rate and may lend it. The parts of
// all frontends sum up to at most the whole rate: a frontend counts every row
// that it knows, also of those that are down, and lends nothing before all
// others have counted it.
//
// Used on the event loop thread.
class RateMembers {
 public:
  struct Peer {
    std::string node;
    std::string address;
  };

  // `node` is the name of this frontend.
  explicit RateMembers(std::string node) : node_(std::move(node)) {}

  // Applies a complete read of the rows of all frontends, which reflects the
  // store at `version`; keys are node names.
  void Apply(const std::vector<StoredRow>& rows,
             std::uint64_t version,
             TimePoint now);
  // Whether this frontend and therefore the others are known.
  bool IsKnown() const { return members_.contains(node_); }
  // The version of the newest read, or 0 before the first one.
  std::uint64_t seen_version() const { return seen_version_; }
  // The row of this frontend in the newest read, or nullptr.
  const StoredRow* own_row() const { return own_row_ ? &*own_row_ : nullptr; }
  // Whether all other frontends have read the rows at `version` or later.
  bool HaveAllSeen(std::uint64_t version) const;
  // Returns the number of frontends that are not absent: whose rows changed in
  // the newest reads. Outages of the store do not count, since nobody can
  // report then.
  size_t size() const;
  // The part of each rate that this frontend owns, or 0 if it is not known.
  double part() const;

  const std::vector<Peer>& peers() const { return peers_; }
  // Returns the address of the other frontend `node`, or nullptr.
  const std::string* FindAddress(const std::string& node) const;
  // Returns the rank of a frontend for a shard, or 0 if it is not known.
  // Weighted rendezvous hashing: frontends that know the same members agree on
  // the ranks, and a frontend that leaves moves only its own shards.
  double RankOf(const std::string& node, size_t shard) const;
  // Returns how many frontends rank above this one.
  size_t CountAbove(size_t shard) const { return above_[shard]; }
  // Returns the keys and versions of rows that did not change for long enough
  // to remove them from the store.
  std::vector<StoredRow> AbandonedRows() const;

 private:
  struct Member {
    std::uint64_t version = 0;
    // Reads since the row changed, without those that came soon after another:
    // the owner had no time to write its row in between.
    int unchanged_reads = 0;
    RateMemberReport report;
    std::array<double, kRateShards> ranks{};

    bool IsPresent() const;
  };

  void CountRanks();

  std::string node_;
  // Without rows that cannot be read.
  std::map<std::string, Member> members_;
  std::vector<Peer> peers_;
  // Number of frontends that rank above this one, by shard.
  std::array<size_t, kRateShards> above_{};
  std::optional<StoredRow> own_row_;
  std::uint64_t seen_version_ = 0;
  std::optional<TimePoint> counted_read_at_;
};

std::string EncodeRateMemberReport(const RateMemberReport& report);
std::optional<RateMemberReport> DecodeRateMemberReport(const std::string& text);

}  // namespace carawayrelay
