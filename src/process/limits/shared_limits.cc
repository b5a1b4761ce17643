#include "process/limits/shared_limits.h"

#include <algorithm>
#include <utility>

namespace carawayrelay {

SharedLimits::SharedLimits(const Options& options)
    : options_(options),
      member_(options.node, options.shard_count, options.times) {}

void SharedLimits::AdoptConfig(ConfigPtr config) {
  config_ = std::move(config);
  member_.SetConfig(config_);
}

void SharedLimits::AddPeer(ConnectionId connection, const std::string& node) {
  peers_[connection] = node;
}

void SharedLimits::RemovePeer(ConnectionId connection) {
  peers_.erase(connection);
}

void SharedLimits::HandleLease(const LimitLeaseEvent& event, TimePoint now) {
  std::visit(
      Overloaded{
          [&](const ShardRowRead& e) { member_.SetShard(e.shard, e.row, now); },
          [&](const LeaseAcquired& e) {
            member_.SetShard(e.shard, e.row, now);
            holders_.insert_or_assign(
                e.shard, LimitLeaseHolder(e.shard, e.row, e.until,
                                          e.granting_from, options_.times));
          },
          [&](const LeaseRenewed& e) {
            member_.SetShard(e.shard, e.row, now);
            const auto it = holders_.find(e.shard);
            if (it != holders_.end()) {
              it->second.Renew(e.row, e.until);
            }
          },
          [&](const LeaseLost& e) { holders_.erase(e.shard); },
      },
      event);
}

LimitGrant SharedLimits::MakeGrant(const LimitRequest& request, TimePoint now) {
  const auto it = holders_.find(request.shard);
  if (it == holders_.end() || !config_) {
    return LimitGrant{.shard = request.shard,
                      .fence = request.fence,
                      .sequence = request.sequence};
  }
  return it->second.Handle(request, *config_, now);
}

void SharedLimits::HandleLimitRequest(ConnectionId from,
                                      const LimitRequest& request,
                                      TimePoint now) {
  messages_.push_back({.connection = from, .message = MakeGrant(request, now)});
}

void SharedLimits::HandleGrant(const LimitGrant& grant, TimePoint now) {
  AddResults(member_.HandleGrant(grant, now));
}

Admission SharedLimits::Admit(const std::string& workspace,
                              RequestId request,
                              TimePoint now) {
  return member_.Admit(workspace, request, now);
}

void SharedLimits::Advance(TimePoint now) {
  AddResults(member_.TakeTimedOut(now));
  for (AddressedLimitRequest& addressed : member_.TakeLimitRequests(now)) {
    if (addressed.holder == options_.node) {
      AddResults(member_.HandleGrant(MakeGrant(addressed.request, now), now));
      continue;
    }
    const auto peer = std::find_if(
        peers_.begin(), peers_.end(),
        [&](const auto& entry) { return entry.second == addressed.holder; });
    if (peer != peers_.end()) {
      messages_.push_back(
          {.connection = peer->first, .message = std::move(addressed.request)});
    }
  }
}

void SharedLimits::AddResults(const std::vector<AdmissionResult>& results) {
  results_.insert(results_.end(), results.begin(), results.end());
}

std::vector<SendMessage> SharedLimits::TakeMessages() {
  return std::exchange(messages_, {});
}

std::vector<AdmissionResult> SharedLimits::TakeResults() {
  return std::exchange(results_, {});
}

std::vector<AcknowledgedNodes> SharedLimits::Acknowledged() const {
  std::vector<AcknowledgedNodes> all;
  for (const auto& [shard, holder] : holders_) {
    all.push_back({.shard = shard,
                   .fence = holder.fence(),
                   .nodes = holder.Acknowledged()});
  }
  return all;
}

}  // namespace carawayrelay
