#include "process/jobs/job_api.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "process/jobs/job_responses.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// No read of an item or a result begins later than this after the request, so
// that the client gets a refusal while it still waits.
constexpr milliseconds kReadLimit{1500};
// Limit of result text in one response, in bytes, unless it contains a single
// result; clients accept at most 1 MB.
constexpr size_t kMaxResultBytes = 900000;
// Size to expect of the text of a result in an object.
constexpr size_t kResultObjectBytes = size_t{256} << 10;

}  // namespace

void JobApi::Handle(ClientCallId client,
                    platform::JobCall call,
                    const std::string& workspace,
                    bool is_current) {
  std::visit(
      Overloaded{
          [&](platform::ReadResults& read) {
            WithJob(client, read.job, workspace, is_current,
                    [this, client, from = read.from](const BulkJob& job) {
                      SendResults(client, job, from);
                    });
          },
          [&](platform::ReadItemBody& read) {
            WithJob(client, read.job, workspace, /*is_current=*/true,
                    [this, client, item = read.item](const BulkJob& job) {
                      SendItemBody(client, job, item);
                    });
          },
          [&](platform::EndJob& end) {
            WithJob(client, end.job, workspace, /*is_current=*/true,
                    [this, client](const BulkJob& job) {
                      MarkJobEnded(client, job);
                    });
          },
      },
      call);
}

void JobApi::WithJob(ClientCallId client,
                     const std::string& job,
                     const std::string& workspace,
                     bool is_current,
                     std::function<void(const BulkJob&)> then) {
  const auto use = [this, client, workspace,
                    then = std::move(then)](const JobTable::Entry* entry) {
    if (entry == nullptr || entry->job.workspace != workspace) {
      send_response_(client, Refusal{.code = RefusalCode::kNotFound,
                                     .reason = "no such job"});
      return;
    }
    // A copy, because the table may change while a store call is running.
    then(BulkJob(entry->job));
  };
  const JobTable::Entry* existing = jobs_.Find(job);
  if (existing != nullptr && is_current) {
    use(existing);
    return;
  }
  const RowKey key = job_rows::State(job);
  store_.Send(
      RowsRead{.table = key.table,
               .part = key.part,
               .from = key.key,
               .to = key.key + '\0'},
      [this, client, job, use](StoreResponse response) {
        if (response.status != StoreStatus::kDone) {
          RefuseUnavailable(client, job, "the store cannot be read");
          return;
        }
        use(response.rows.empty() ? nullptr : jobs_.Put(response.rows[0]));
      });
}

void JobApi::RefuseUnavailable(ClientCallId client,
                               const std::string& job,
                               const std::string& reason) {
  LogDecision(LogEvent::kJobReadFailed, "job", job, "reason", reason);
  send_response_(client, StoreUnavailable(reason));
}

void JobApi::SendResults(ClientCallId client, const BulkJob& job, size_t from) {
  const size_t total = job.items.size();
  const auto respond_with = [this, client, total,
                             from](const std::vector<ItemResult>& results) {
    send_response_(client,
                   CompleteResponse{
                       .status = 200,
                       .headers = {{"Content-Type", "application/json"}},
                       .body = platform::EncodeResults(total, from, results)});
  };
  if (from >= job.listed) {
    respond_with({});
    return;
  }
  const RowKey first = job_rows::Result(job.id, from);
  const std::string id = job.id;
  store_.Send(
      RowsRead{.table = first.table,
               .part = first.part,
               .from = first.key,
               .to = job_rows::Result(job.id, job.listed).key},
      [this, client, id, respond_with](const StoreResponse& response) {
        if (response.status != StoreStatus::kDone || response.rows.empty()) {
          RefuseUnavailable(client, id, "the results cannot be read");
          return;
        }
        auto results = std::make_shared<std::vector<ItemResult>>();
        size_t bytes = 0;
        for (const StoredRow& row : response.rows) {
          auto result = DecodeItemResult(row.value);
          if (!result) {
            RefuseUnavailable(client, id, result.error().message);
            return;
          }
          bytes += result.value().text.size();
          if (!results->empty() &&
              (bytes > kMaxResultBytes || !result.value().object.empty())) {
            break;
          }
          results->push_back(std::move(result).value());
        }
        ItemResult& front = results->front();
        if (front.object.empty()) {
          respond_with(*results);
          return;
        }
        results->resize(1);
        transfers_.Add(
            {.request = ObjectRead{.name = front.object},
             .bytes = kResultObjectBytes,
             .time_limit = kReadLimit},
            [this, client, id, results, respond_with](StoreResponse object) {
              if (object.status != StoreStatus::kDone) {
                RefuseUnavailable(client, id, "the result cannot be read");
                return;
              }
              results->front().text = std::move(object.data);
              respond_with(*results);
            });
      });
}

void JobApi::SendItemBody(ClientCallId client,
                          const BulkJob& job,
                          const std::string& item) {
  submissions_.FindItem(
      job.id, item, kReadLimit,
      [this, client, id = job.id](Result<platform::SubmittedItem> found) {
        if (found) {
          send_response_(
              client,
              CompleteResponse{
                  .status = 200,
                  .headers = {{"Content-Type", "application/octet-stream"}},
                  .body = std::move(found.value().body)});
        } else if (found.error().code == ErrorCode::kNotFound) {
          send_response_(client, Refusal{.code = RefusalCode::kNotFound,
                                         .reason = "no such item"});
        } else {
          RefuseUnavailable(client, id, found.error().message);
        }
      });
}

void JobApi::MarkJobEnded(ClientCallId client, const BulkJob& job) {
  writer_.Add(job.id,
              {.apply =
                   [](BulkJob& state, RowsTransaction&) {
                     return std::exchange(state.is_ended, true)
                                ? JobWriter::Outcome::kAlreadyApplied
                                : JobWriter::Outcome::kChanged;
                   },
               .done =
                   [this, client, id = job.id](JobWriter::Outcome outcome) {
                     if (outcome == JobWriter::Outcome::kObsolete ||
                         outcome == JobWriter::Outcome::kRejected) {
                       RefuseUnavailable(client, id,
                                         "the state of the job is unreadable");
                       return;
                     }
                     LogDecision(
                         LogEvent::kJobEnded, "job", id, "was_ended",
                         outcome == JobWriter::Outcome::kAlreadyApplied);
                     send_response_(client, EmptyObject(200));
                   }});
}

}  // namespace carawayrelay
