#pragma once

#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Part of the rate that a member may use on its own while it has no contact
// with the lease holder.
struct MemberShare {
  std::string node;
  double share = 0;
  // Largest share that the member may still believe in; at least `share` until
  // it has acknowledged the fence of the row.
  double reserved = 0;
};

// Lease of one rate-limit shard as kept in the table row limits/<shard>.
struct LimitRow {
  std::string holder;
  Fence fence{0};
  // Changes with each renewal, so that observers see a live holder.
  std::uint64_t renewal = 0;
  std::vector<MemberShare> members;
};

std::string ToJson(const LimitRow& row);
// Fails with kInvalid for text that is not a row.
Result<LimitRow> ParseLimitRow(const std::string& json);

// Returns the members for a new fence: equal shares for `live_nodes`. A member
// that is not in `acknowledged` keeps the larger of its old and new reserved
// share. A member that is not live keeps its reserved share until
// `expired_nodes` lists it.
std::vector<MemberShare> NextMembers(
    const std::vector<MemberShare>& current,
    const std::vector<std::string>& live_nodes,
    const std::vector<std::string>& expired_nodes,
    const std::vector<std::string>& acknowledged);

}  // namespace carawayrelay
