#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "process/quarantine/prompt_quarantine.h"
#include "process/quarantine/trial_record.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"
#include "request/boot_clock.h"
#include "request/prompt_parts.h"

namespace carawayrelay {

// Decides which requests with quarantined parts are sent to try these again.
//
// Any process that has such a request may try a part when a trial is due; the
// store decides between those that want to. A process that gets the right and
// does not use it, because it ends or is cut off, delays the next trial by one
// interval. How often a part is sent does not depend on who is alive: each send
// needs a grant, and the record in the store limits the grants.
//
// Used on the event loop thread.
class PromptTrials {
 public:
  struct Admitted {};
  // Backend servers crash on the part.
  struct Refused {
    std::string part;
    TimePoint retry_at{};  // when the next trial may be due
  };
  // The request may be a trial if Ask() gets the right to it.
  struct TrialDue {};
  using Verdict = std::variant<Admitted, Refused, TrialDue>;
  // What Ask() found out. Admitted: the part is no longer in quarantine.
  using Answer = std::variant<Admitted, TrialGrant, Refused>;
  using Callback = std::function<void(const Answer&)>;

  // `node` is the name of this process. The referenced objects must outlive
  // this one.
  PromptTrials(std::string node,
               const PromptQuarantine& quarantine,
               StoreClient& store,
               const EventLoopClock& clock);

  // Decides whether a request with these parts may be sent.
  Verdict Admit(const PromptParts& parts, TimePoint now) const;
  // Asks the store for the right to send one request with these parts, for
  // which Admit() returned TrialDue. The callback is called later; without a
  // response of the store, at the end of the call's time limit.
  void Ask(const PromptParts& parts, Callback callback);
  // Gives back the right to a request that no backend server has got.
  void Return(const TrialGrant& grant);

 private:
  struct AskState {
    PromptParts parts;  // of the request
    PromptParts tried;  // the quarantined ones
    Callback callback;
    int writes = 0;
  };

  // Returns when the parts of the match may be tried, or nullopt if not before
  // the end of their quarantine.
  std::optional<TimePoint> NextTrial(const PromptQuarantine::Match& match,
                                     TimePoint now) const;
  void WriteGrant(AskState ask);
  void OnGrantWritten(AskState ask,
                      const TrialRecord& written,
                      const StoreResponse& response);
  // Ends an ask without a grant; the next one is sent after a pause.
  void EndAsk(const AskState& ask, TimePoint now);
  // Does not ask for these parts until a pause is over.
  void Postpone(const PromptParts& parts, TimePoint now);
  void WriteReturn(TrialGrant grant, int writes);
  void Write(const TrialRecord& record, StoreCallback callback);
  // Takes over the row that a failed condition returned.
  void ApplyCurrentRow(const StoreResponse& response);

  const std::string node_;
  const PromptQuarantine& quarantine_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  // The record as last read or written, and the version of its row.
  TrialRecord record_;
  std::uint64_t record_version_ = 0;
  // Parts for which the store is being asked.
  std::set<std::string> asking_;
  // Parts for which it is not asked until then.
  std::map<std::string, TimePoint> postponed_;
};

}  // namespace carawayrelay
