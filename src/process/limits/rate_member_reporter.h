#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/limits/rate_admission.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_request.h"

namespace carawayrelay {

// Writes the row of this frontend to the store and reads the rows of all
// frontends, so that each of them knows its part of the rates. A frontend
// without a row, or whose row was removed, joins: it lends its part only after
// all others have read its row, because their parts are larger until then.
//
// Used on the event loop thread.
class RateMemberReporter {
 public:
  struct Options {
    std::string node;
    std::string address;  // of this frontend for datagrams, "IP:port"
    // Part of the shards that this frontend holds, relative to the others.
    double weight = 1;
  };

  // The referenced objects must outlive this one.
  RateMemberReporter(Options options,
                     RateAdmission& rates,
                     StoreSender store,
                     const EventLoopClock& clock)
      : options_(std::move(options)),
        rates_(rates),
        store_(std::move(store)),
        clock_(clock) {}

  // Reads the rows, or writes the own row and reads them, if it is due.
  void Tick(TimePoint now);

 private:
  void Write();
  void Read();
  void OnRead(StoreResponse response);
  void OnRows();
  // Begins to lend once the other frontends count this one.
  void UpdateLending(TimePoint now);
  void Fail();
  void RemoveAbandonedRows();

  const Options options_;
  RateAdmission& rates_;
  StoreSender store_;
  const EventLoopClock& clock_;
  TimePoint next_report_at_{};
  std::optional<TimePoint> started_at_;
  bool is_call_in_flight_ = false;
  bool has_read_ = false;
  // Version of the own row, or 0 if there is none.
  std::uint64_t own_version_ = 0;
  // Version of the store since which the own row exists, or 0. Not needed once
  // all others have seen it.
  std::uint64_t joined_version_ = 0;
  bool is_counted_ = false;
  bool has_recalled_ = false;
  // The rows read so far, and the version that they reflect.
  std::vector<StoredRow> rows_;
  std::uint64_t rows_version_ = 0;
};

}  // namespace carawayrelay
