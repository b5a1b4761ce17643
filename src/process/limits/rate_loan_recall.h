#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "connection/rate_message.h"
#include "process/limits/rate_members.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Recalls what earlier processes of this frontend have lent, so that its part
// can be lent again before the time of one loan is over. Each other frontend
// that is up answers that it grants nothing from those loans any more; one that
// is down cannot grant.
//
// Used on the event loop thread.
class RateLoanRecaller {
 public:
  // Begins to recall the loans of earlier processes from `peers`.
  void Begin(const std::vector<RateMembers::Peer>& peers);
  // Records the answer of a frontend.
  void NoteAnswer(const std::string& node) { open_.erase(node); }
  // Whether all frontends have answered.
  bool IsDone() const { return has_begun_ && open_.empty(); }
  // Returns the addresses to ask now: of the frontends that have not answered,
  // and that were not asked for a while.
  std::vector<std::string> DueAddresses(TimePoint now);
  // When DueAddresses() returns something next.
  std::optional<TimePoint> NextDue() const;
  // Ends the recall; IsDone() is false from now on.
  void Stop() {
    has_begun_ = false;
    open_.clear();
  }

 private:
  bool has_begun_ = false;
  std::map<std::string, std::string> open_;  // addresses by node
  TimePoint next_at_{};
};

// The loans that a holder must not use, because their lender has recalled them.
class RecalledLoans {
 public:
  // Records that the process of the frontend `node` recalled the loans that
  // earlier processes made. Loans that are still on their way count as well.
  void Note(const std::string& node, RateProcessId process, TimePoint now);
  bool Contains(const RateLoan& loan) const;

 private:
  struct Recall {
    RateProcessId process{0};
    std::chrono::microseconds at{0};  // since boot
  };

  // The latest ones of each frontend. Older ones matter no more, because loans
  // end within seconds.
  std::map<std::string, std::vector<Recall>> recalls_;
};

}  // namespace carawayrelay
