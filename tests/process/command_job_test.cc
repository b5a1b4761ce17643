#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>

#include "carawayrelay/process.h"
#include "process/fake_store.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

struct CommandJobFixture {
  std::mutex mutex;
  std::map<std::string, std::string> requests;  // last request body by path
  std::map<std::string, std::pair<int, std::string>> responses;
  int requests_to_drop = 0;  // number of requests that get no response
  std::pair<std::unique_ptr<HttpServer>, std::string> server = ServeOnFreePort(
      [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
        const std::lock_guard lock(mutex);
        requests[request.path] = request.body;
        if (request.headers.at("authorization") != "Bearer cr_k_s") {
          exchange->Respond(401, {}, "");
        } else if (requests_to_drop > 0) {
          --requests_to_drop;
        } else {
          const auto& [status, body] = responses.at(request.path);
          exchange->Respond(status, {}, body);
        }
      });
  std::ostringstream out;
  std::ostringstream err;
  CommandContext context{.api_url = server.second,
                         .api_key = "cr_k_s",
                         .out = out,
                         .err = err};
  const std::string file =
      "/tmp/relay_job_test." + std::to_string(::getpid()) + ".jsonl";

  CommandJobFixture() {
    std::ofstream(file) << R"({"messages": []})" << '\n';
    responses["/v1/files"] = {200, R"({"id": "f1"})"};
    responses["/v1/batches"] = {200,
                                R"({"id": "b1", "status": "in_progress"})"};
  }
  ~CommandJobFixture() {
    server.first->Stop();
    std::remove(file.c_str());
  }

  int Run(const Command& command) { return RunCommand(command, context); }
};

// Guards against a second job that is created when the command repeats a
// request after a lost response.
TEST_CASE_FIXTURE(CommandJobFixture,
                  "job submit, lost responses, repeats the same job") {
  requests_to_drop = 2;
  CHECK(Run(JobSubmitCommand{.file = file, .name = "night", .model = "m"}) ==
        0);
  const json job = json::parse(requests["/v1/batches"]);
  CHECK(job["input_file_id"] == "f1");
  CHECK(job["metadata"]["name"] == "night");
  const json item = json::parse(requests["/v1/files"]);
  CHECK(item["custom_id"] == "line-1");
  CHECK(item["body"]["model"] == "m");
  CHECK(out.str().find("b1 in_progress") != std::string::npos);
}

// Guards against an exit code that promises that nothing was changed when the
// job may have been created.
TEST_CASE_FIXTURE(
    CommandJobFixture,
    "job submit, refused or incomplete request, maps to exit code") {
  const Command submit = JobSubmitCommand{.file = file, .name = "night"};
  responses["/v1/batches"] = {409,
                              R"({"error": {"message": "other content"}})"};
  CHECK(Run(submit) == 3);
  responses["/v1/batches"] = {503, R"({"error": {"run_state": "not_run"}})"};
  CHECK(Run(submit) == 4);
  responses["/v1/batches"] = {503, R"({"error": {"run_state": "unknown"}})"};
  CHECK(Run(submit) == 5);
  context.api_key = "";
  CHECK(Run(submit) == 2);
}

// Guards against partial results of a running job that are taken for the
// complete results.
TEST_CASE_FIXTURE(
    CommandJobFixture,
    "job results, running then completed job, prints only at the end") {
  responses["/v1/batches/b1"] = {200,
                                 R"({"id": "b1", "status": "in_progress"})"};
  CHECK(Run(JobResultsCommand{"b1"}) == 1);
  responses["/v1/batches/b1"] = {
      200, R"({"id": "b1", "status": "completed", "output_file_id": "o",
               "error_file_id": "e"})"};
  responses["/v1/files/o/content"] = {200, "output\n"};
  responses["/v1/files/e/content"] = {200, "error\n"};
  CHECK(Run(JobResultsCommand{"b1"}) == 0);
  CHECK(out.str() == "output\nerror\n");
}

// Guards against a model that overwrites the one of an item, and against a
// malformed line that is dropped instead of reported by the entry.
TEST_CASE_FIXTURE(
    CommandJobFixture,
    "CompleteBatchLines, complete or malformed lines, stay unchanged") {
  const std::string item = R"({"custom_id":"a","body":{"model":"x"}})";
  CHECK(CompleteBatchLines(item + "\nnot json\n", "m") ==
        item + "\nnot json\n");
}

}  // namespace
}  // namespace carawayrelay
