#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/serving/event_loop_clock.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Follows one table of the store: reads the whole table, then its changes, and
// reads the whole table again when changes were missed.
class TableWatch {
 public:
  struct Options {
    std::string table;
    std::vector<std::string> parts = {""};
    // How long the store delays its response while nothing changes.
    std::chrono::milliseconds wait{1000};
    // Minimum time between the starts of two calls.
    std::chrono::milliseconds min_interval{0};
  };
  // If `is_full`, `rows` are all rows of the table; otherwise they are the
  // changed and removed rows.
  using OnRows = std::function<
      void(const std::vector<StoredRow>& rows, bool is_full, TimePoint now)>;

  TableWatch(Options options,
             StoreSender store,
             const EventLoopClock& clock,
             OnRows on_rows);

  // Starts the next call if it is due. The event loop must call this often.
  void Tick(TimePoint now);

  // When the newest successful watch, or the first call of the newest complete
  // read of the table, was sent. All changes before that time have been
  // received. Not set before the first complete read.
  std::optional<TimePoint> up_to_date_at() const { return up_to_date_at_; }
  // When a call succeeded again after the latest failures; not set before.
  // Users need it to judge rows that disappeared during an outage.
  std::optional<TimePoint> reconnected_at() const { return reconnected_at_; }

 private:
  void ReadNextPart(TimePoint now);
  void Watch(TimePoint now);
  void OnRead(StoreResponse response, TimePoint sent_at);
  void OnChanges(const StoreResponse& response, TimePoint sent_at);
  void RecordFailure(TimePoint now);
  std::chrono::milliseconds CallTimeout() const;
  void RecordSuccess(TimePoint sent_at, TimePoint now);

  Options options_;
  StoreSender store_;
  const EventLoopClock& clock_;
  OnRows on_rows_;
  bool is_running_ = false;  // a call has not ended yet
  bool is_synced_ = false;   // if false, the whole table must be read
  int consecutive_failures_ = 0;
  TimePoint next_call_{};
  std::optional<TimePoint> up_to_date_at_;
  std::optional<TimePoint> reconnected_at_;
  // State of the current read of the whole table.
  bool is_reading_ = false;
  size_t part_ = 0;
  std::string from_;
  std::vector<StoredRow> rows_;
  std::uint64_t read_version_ = 0;  // lowest store version of the reads so far
  TimePoint read_started_at_{};

  // All changes up to this version have been received.
  std::uint64_t version_ = 0;
};

}  // namespace carawayrelay
