#pragma once

#include <string>
#include <utility>

#include "process/limits/rate_admission.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"

namespace carawayrelay {

// Writes the row of this frontend to the store and reads the rows of all
// frontends, so that they choose the same holders of the rates. Used on the
// event loop thread.
class RateMemberReporter {
 public:
  struct Options {
    std::string node;
    std::string address;  // of this frontend for datagrams, "IP:port"
    // Part of the workspaces that this frontend takes, relative to the others.
    double weight = 1;
  };

  // The referenced objects must outlive this one.
  RateMemberReporter(Options options,
                     RateAdmission& rates,
                     StoreClient& store,
                     const EventLoopClock& clock)
      : options_(std::move(options)),
        rates_(rates),
        store_(store),
        clock_(clock) {}

  // Writes the row if it is due.
  void Tick(TimePoint now);

 private:
  void Read();
  void RemoveAbandonedRows();

  const Options options_;
  RateAdmission& rates_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  TimePoint next_report_at_{};
  bool is_call_in_flight_ = false;
};

}  // namespace carawayrelay
