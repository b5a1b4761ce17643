#include "process/limits/limit_row.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carawayrelay {
namespace {

using nlohmann::json;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::string ToJson(const LimitRow& row) {
  json members = json::array();
  for (const MemberShare& member : row.members) {
    members.push_back({{"node", member.node},
                       {"share", member.share},
                       {"reserved", member.reserved}});
  }
  return json{{"holder", row.holder},
              {"fence", ToInt(row.fence)},
              {"renewal", row.renewal},
              {"members", members}}
      .dump();
}

Result<LimitRow> ParseLimitRow(const std::string& text) {
  try {
    const json parsed = json::parse(text);
    LimitRow row;
    row.holder = parsed.at("holder").get<std::string>();
    row.fence = Fence{parsed.at("fence").get<std::uint64_t>()};
    row.renewal = parsed.at("renewal").get<std::uint64_t>();
    for (const json& member : parsed.at("members")) {
      row.members.push_back({.node = member.at("node").get<std::string>(),
                             .share = member.at("share").get<double>(),
                             .reserved = member.at("reserved").get<double>()});
    }
    return row;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInvalid,
                 std::string("malformed limit row: ") + e.what()};
  }
}

std::vector<MemberShare> NextMembers(
    const std::vector<MemberShare>& current,
    const std::vector<std::string>& live_nodes,
    const std::vector<std::string>& expired_nodes,
    const std::vector<std::string>& acknowledged) {
  std::vector<MemberShare> next;
  const double share =
      live_nodes.empty() ? 0 : 1.0 / static_cast<double>(live_nodes.size());
  for (const MemberShare& member : current) {
    const bool live = Contains(live_nodes, member.node);
    if (!live && Contains(expired_nodes, member.node)) {
      continue;
    }
    const double new_share = live ? share : 0;
    const double usable = Contains(acknowledged, member.node)
                              ? member.share
                              : std::max(member.share, member.reserved);
    next.push_back({.node = member.node,
                    .share = new_share,
                    .reserved = std::max(usable, new_share)});
  }
  for (const std::string& node : live_nodes) {
    const bool known =
        std::any_of(next.begin(), next.end(),
                    [&](const MemberShare& m) { return m.node == node; });
    if (!known) {
      next.push_back({.node = node, .share = share, .reserved = share});
    }
  }
  return next;
}

}  // namespace carawayrelay
