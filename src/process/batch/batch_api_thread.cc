#include "process/batch/batch_api_thread.h"

#include <chrono>
#include <utility>

#include "process/batch/batch_store_thread.h"

namespace carawayrelay {

Result<std::unique_ptr<BatchApiThread>> BatchApiThread::Make(
    const Options& options,
    Deliver deliver) {
  BOOST_OUTCOME_TRY(std::unique_ptr<BlockingStoreClient> client,
                    BlockingStoreClient::Make(options.store_client));
  std::unique_ptr<BatchApiThread> api_thread(
      new BatchApiThread(options, std::move(client), std::move(deliver)));
  api_thread->thread_ =
      std::thread([thread = api_thread.get()] { thread->Run(); });
  return api_thread;
}

BatchApiThread::BatchApiThread(const Options& options,
                               std::unique_ptr<BlockingStoreClient> client,
                               Deliver deliver)
    : options_(options),
      client_(std::move(client)),
      store_(MakeStoreAccess(*client_), options.store),
      api_(store_, options.api, [] { return RandomId(); }),
      deliver_(std::move(deliver)),
      requests_(options.queue_capacity) {}

BatchApiThread::~BatchApiThread() {
  Stop();
}

bool BatchApiThread::TryEnqueue(BatchHttpRequest& batch_request) {
  const size_t bytes = batch_request.request.body.size();
  if (queued_bytes_.fetch_add(bytes) + bytes > options_.max_queued_bytes ||
      !requests_.TryPush(batch_request)) {
    queued_bytes_ -= bytes;
    return false;
  }
  return true;
}

void BatchApiThread::Stop() {
  requests_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void BatchApiThread::Run() {
  while (std::optional<BatchHttpRequest> batch_request = requests_.Pop()) {
    const auto now = std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
    BatchApi::Response response =
        api_.Handle(batch_request->request, batch_request->workspace,
                    *batch_request->config, now);
    queued_bytes_ -= batch_request->request.body.size();
    batch_request->exchange->Respond(response.http_status, response.headers,
                                     response.body);
    if (response.event) {
      deliver_(*std::move(response.event));
    }
  }
}

}  // namespace carawayrelay
