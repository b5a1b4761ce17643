#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// What one frontend tells the others in its row in the store.
struct RateMemberReport {
  std::string address;  // for datagrams, "IP:port"
  // Part of the workspaces that this frontend takes, relative to the others.
  double weight = 1;
  // Requests that it granted in the last window, by workspace.
  std::map<std::string, double> granted;
};

// The frontends that hold the rates, according to their rows in the store.
//
// Each workspace has one holder at a time, which counts the requests that all
// frontends admit. It is chosen by weighted rendezvous hashing, so frontends
// that know the same members choose the same holder, and a frontend that leaves
// moves only its own workspaces.
//
// A member counts as absent when its row did not change over several reads.
// Outages of the store do not count: nobody can report then. An absent member
// that still answers keeps its rates, because it may have lost the store only
// and goes on to count; once it is silent as well, it has left.
//
// Used on the event loop thread.
class RateMembers {
 public:
  struct Holder {
    std::string node;
    std::string address;
  };

  // `node` is the name of this frontend.
  explicit RateMembers(std::string node) : node_(std::move(node)) {}

  // Applies a complete read of the rows of all frontends; keys are node names.
  void Apply(const std::vector<StoredRow>& rows, TimePoint now);
  // Whether this frontend and therefore the others are known.
  bool IsKnown() const { return members_.contains(node_); }
  // Whether frontends that started together with this one are known too: its
  // own row was in two reads. A frontend that knows part of the others must not
  // take itself for the holder of a rate.
  bool IsSettled() const { return reads_with_own_row_ >= kReadsUntilSettled; }
  // Returns the number of frontends that are not absent.
  size_t size() const;

  // Returns the frontend that holds the rate of the workspace, among those that
  // did not leave and are not silent, or nullopt when there is none.
  std::optional<Holder> HolderOf(const std::string& workspace,
                                 TimePoint now) const;
  // Leaves the frontend out of HolderOf() for a while.
  void NoteSilent(const std::string& node, TimePoint now);
  // Returns how many requests of the workspace the other frontends granted in
  // the last window, by their reports.
  double GrantedByOthers(const std::string& workspace, TimePoint now) const;
  // Returns the keys and versions of rows that did not change for long enough
  // to remove them from the store.
  std::vector<StoredRow> AbandonedRows() const;

 private:
  struct Member {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    // Reads since the row changed.
    int unchanged_reads = 0;
    bool has_left = false;  // absent, and silent since
    RateMemberReport report;
    std::uint64_t hash = 0;  // of the node name
    TimePoint silent_until{};

    bool IsPresent() const;
  };

  static constexpr int kReadsUntilSettled = 2;

  std::string node_;
  std::map<std::string, Member> members_;
  int reads_with_own_row_ = 0;
};

std::string EncodeRateMemberReport(const RateMemberReport& report);

}  // namespace carawayrelay
