#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/base64.h"
#include "process/jobs/job_api.h"
#include "process/jobs/job_intake.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/store/store_transfer_queue.h"
#include "serving/serving_fixture.h"

namespace carawayrelay {

// The batch job classes of one frontend, with the store stand-in.
struct JobFixture : ServingFixture {
  JobTable jobs;
  JobWriter writer{jobs, store.sender(), clock};
  std::vector<ClientResponseEvent> responses;
  StoreTransferQueue transfers{{.seed = 5}, store.sender(), clock};
  JobIntake::ResponseCallback respond = [this](ClientCallId,
                                               ClientResponseEvent response) {
    responses.push_back(std::move(response));
  };
  JobIntake intake{jobs, store, transfers, clock, /*seed=*/5, respond};
  JobApi api{jobs, writer, store, transfers, respond};
  ServingRoute route{.name = "bulk",
                     .host = "h",
                     .prefix = "/b/",
                     .call_class = CallClass::kBulk,
                     .max_attempts = 3,
                     .services = {{.service = "llm"}},
                     .bulk = {.completion_target = std::chrono::seconds(18),
                              .item_expiry = std::chrono::seconds(60)}};
  ConfigVersion config_version = kNoConfig;
  ServingWorkspace workspace{.name = "w", .keys = {"k"}};

  // Reads from the store first, as a frontend does before it accepts jobs: the
  // store time is only available after the first response.
  JobFixture() {
    store.Send(RowsRead{.table = "op"}, [](const StoreResponse&) {});
    RunStore();
  }

  static std::string Submission(int items, const std::string& body = "body") {
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < items; ++i) {
      list.push_back(
          {{"id", "item-" + std::to_string(i)},
           {"path", "/b/" + std::to_string(i)},
           {"headers",
            {{"X-Carawayrelay-Model", "m"},
             {"X-Carawayrelay-Prompt-Prefix", "5c1e07a2:300,5d07b8:240"}}},
           {"body", platform::ToBase64(body)},
           {"tokens", 100}});
    }
    return nlohmann::json{{"items", std::move(list)}}.dump();
  }
  void Submit(const std::string& job, const std::string& body) {
    intake.Submit({.client = ClientCallId{1},
                   .request_id = job,
                   .host = "h",
                   .body = body,
                   .arrived = now()},
                  {.route = route,
                   .workspace = workspace,
                   .config_version = config_version},
                  now());
  }
  // Runs the steps of the event loop thread until no store calls are left, at
  // most 20 times.
  void RunUntilIdle() {
    for (int i = 0; i < 20; ++i) {
      writer.Tick(now());
      intake.Tick(now());
      transfers.Tick(now());
      if (RunStore() == 0) {
        break;
      }
    }
  }
  int LastStatus() const {
    REQUIRE_FALSE(responses.empty());
    if (const auto* response =
            std::get_if<CompleteResponse>(&responses.back())) {
      return response->status;
    }
    return HttpStatus(std::get<Refusal>(responses.back()).code);
  }
  nlohmann::json LastBody() const {
    return nlohmann::json::parse(
        std::get<CompleteResponse>(responses.back()).body);
  }
  BulkJob StoredState(const std::string& job) const {
    const RowKey key = job_rows::State(job);
    auto state = DecodeBulkJob(job, rows.Get(key.table, key.part, key.key));
    REQUIRE(state);
    return std::move(state).value();
  }
  // Lists the result of one item, as a worker does.
  void ListItem(const std::string& job, size_t index, const std::string& text) {
    writer.Add(job, {.apply =
                         [job, index, text](BulkJob& state,
                                            RowsTransaction& transaction) {
                           state.items[index].state = ItemState::kComplete;
                           transaction.writes.push_back(
                               {.key = job_rows::Result(job, state.listed),
                                .value = EncodeItemResult(
                                    {.item = "item-" + std::to_string(index),
                                     .is_complete = true,
                                     .text = text})});
                           ++state.listed;
                           return JobWriter::Outcome::kChanged;
                         },
                     .done = [](JobWriter::Outcome) {}});
    RunUntilIdle();
  }
  void Read(const std::string& job, size_t from, bool is_current = true) {
    api.Handle(ClientCallId{2}, platform::ReadResults{.job = job, .from = from},
               workspace.name, is_current);
    RunUntilIdle();
  }
};

}  // namespace carawayrelay
