#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/serving/step_clock.h"
#include "process/store/store_request.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Follows one table of the store: reads it whole, then its changes, and reads
// it whole again when changes were missed.
class TableWatch {
 public:
  struct Options {
    std::string table;
    std::vector<std::string> parts = {""};
    // How long the store holds a call while nothing changes.
    std::chrono::milliseconds wait{1000};
    // Least time between the starts of two calls.
    std::chrono::milliseconds min_interval{0};
  };
  // `is_full` is set when `rows` are all rows of the table.
  using OnRows = std::function<
      void(const std::vector<StoredRow>& rows, bool is_full, TimePoint now)>;

  TableWatch(Options options,
             StoreSender store,
             const StepClock& clock,
             OnRows on_rows);

  // Starts the next call when it is due. Call it often.
  void Tick(TimePoint now);

  // When the newest call that succeeded was sent: at that moment all earlier
  // changes were known. Nothing before the first.
  std::optional<TimePoint> up_to_date_at() const { return up_to_date_at_; }
  // When contact came back after the newest loss, to judge what vanished
  // meanwhile.
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
  const StepClock& clock_;
  OnRows on_rows_;
  bool is_running_ = false;
  bool is_synced_ = false;
  int consecutive_failures_ = 0;
  TimePoint next_call_{};
  std::optional<TimePoint> up_to_date_at_;
  std::optional<TimePoint> reconnected_at_;
  // Of the running read of the whole table.
  size_t part_ = 0;
  std::string from_;
  std::vector<StoredRow> rows_;
  std::uint64_t read_version_ = 0;
  TimePoint read_started_at_{};

  std::uint64_t version_ = 0;
};

}  // namespace carawayrelay
