#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "process/quarantine/prompt_quarantine.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"

namespace carawayrelay {

// Writes the crash report of this process to its row in the store when it has
// changed, and passes the reports of the others to the quarantine. Used on the
// event loop thread.
class CrashReportExchange {
 public:
  // `node` is the name of this process. The referenced objects must outlive
  // this one.
  CrashReportExchange(std::string node,
                      PromptQuarantine& quarantine,
                      StoreClient& store,
                      const EventLoopClock& clock);

  // Writes the report if it is due and continues the watch. Must be called in
  // each iteration of the event loop.
  void Tick(TimePoint now);

 private:
  void ApplyRows(const std::vector<StoredRow>& rows,
                 bool is_full,
                 TimePoint now);
  // Applies what a row says of this process, or that it was removed, and adds
  // the report of another process to `reports`.
  void ApplyRow(const StoredRow& row,
                std::map<std::string, CrashReport>& reports,
                TimePoint now);
  void Write(TimePoint now);
  // Removes the rows of processes that reported nothing for long; most of these
  // do not run any more.
  void RemoveExpiredRows(TimePoint now);

  const std::string node_;
  PromptQuarantine& quarantine_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  // Versions of the rows of the other processes, by node.
  std::map<std::string, std::uint64_t> row_versions_;
  std::uint64_t written_version_ = 0;
  // Until then the row of this process is that of its previous run.
  bool has_written_ = false;
  bool is_writing_ = false;
  TimePoint next_write_{};
  TimePoint next_cleanup_{};
  TableWatch watch_;
};

}  // namespace carawayrelay
