#include "process/limits/rate_loan_recall.h"

#include <algorithm>

namespace carawayrelay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Frontends that start at the same time do not hear the first requests.
constexpr milliseconds kRepeatInterval{50};
// Recalls that are kept for each frontend.
constexpr size_t kMaxRecalls = 4;

}  // namespace

void RateLoanRecaller::Begin(const std::vector<RateMembers::Peer>& peers) {
  has_begun_ = true;
  for (const RateMembers::Peer& peer : peers) {
    open_[peer.node] = peer.address;
  }
}

std::vector<std::string> RateLoanRecaller::DueAddresses(TimePoint now) {
  std::vector<std::string> addresses;
  if (open_.empty() || now < next_at_) {
    return addresses;
  }
  next_at_ = now + kRepeatInterval;
  for (const auto& [node, address] : open_) {
    addresses.push_back(address);
  }
  return addresses;
}

std::optional<TimePoint> RateLoanRecaller::NextDue() const {
  return open_.empty() ? std::nullopt : std::optional<TimePoint>(next_at_);
}

void RecalledLoans::Note(const std::string& node,
                         RateProcessId process,
                         TimePoint now) {
  const auto at =
      std::chrono::duration_cast<microseconds>(now.time_since_epoch());
  std::vector<Recall>& recalls = recalls_[node];
  const auto known = std::ranges::find(recalls, process, &Recall::process);
  if (known != recalls.end()) {
    known->at = at;
    return;
  }
  if (recalls.size() == kMaxRecalls) {
    recalls.erase(std::ranges::min_element(recalls, {}, &Recall::at));
  }
  recalls.push_back({.process = process, .at = at});
}

bool RecalledLoans::Contains(const RateLoan& loan) const {
  const auto it = recalls_.find(loan.node);
  return it != recalls_.end() &&
         std::ranges::any_of(it->second, [&](const Recall& recall) {
           return recall.process != loan.process &&
                  loan.request_sent_at <= recall.at;
         });
}

}  // namespace carawayrelay
