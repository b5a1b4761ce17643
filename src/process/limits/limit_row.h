#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Fraction of the rate, from 0 to 1, that a member may use on its own while it
// has no contact with the lease holder.
struct MemberShare {
  std::string node;
  double share = 0;
  // Largest share that the member may still be using. It can exceed `share`
  // until the member has acknowledged the fence of the row.
  double reserved = 0;
};

// Lease of one rate-limit shard, as stored in the table row limits/<shard>.
struct LimitRow {
  // Node that holds the lease; empty after a planned release.
  std::string holder;
  Fence fence{0};
  // Incremented with each renewal, so that other nodes see that the holder is
  // alive.
  std::uint64_t renewal = 0;
  std::vector<MemberShare> members;
};

std::string ToJson(const LimitRow& row);
// Fails with kInvalid if `json` is not the JSON text of a row.
Result<LimitRow> ParseLimitRow(const std::string& json);

// Returns the members for a new fence, with equal shares for `live_nodes`.
// A member that has not acknowledged the current fence may still use an older
// share, so its reserved share does not decrease. A member that is not live
// keeps its reserved share until `expired_nodes` contains it.
std::vector<MemberShare> NextMembers(
    const std::vector<MemberShare>& current,
    const std::vector<std::string>& live_nodes,
    const std::vector<std::string>& expired_nodes,
    const std::vector<std::string>& acknowledged);

}  // namespace carawayrelay
