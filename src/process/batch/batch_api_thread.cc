#include "process/batch/batch_api_thread.h"

#include <chrono>
#include <utility>

#include "process/batch/batch_store_thread.h"

namespace carawayrelay {

Result<std::unique_ptr<BatchApiThread>> BatchApiThread::Make(
    const Options& options,
    Deliver deliver) {
  BOOST_OUTCOME_TRY(std::unique_ptr<PlatformClient> client,
                    PlatformClient::Make(options.platform));
  std::unique_ptr<BatchApiThread> made(
      new BatchApiThread(options, std::move(client), std::move(deliver)));
  made->thread_ = std::thread([thread = made.get()] { thread->Run(); });
  return made;
}

BatchApiThread::BatchApiThread(const Options& options,
                               std::unique_ptr<PlatformClient> client,
                               Deliver deliver)
    : options_(options),
      client_(std::move(client)),
      store_(MakeStoreAccess(*client_), options.store),
      api_(store_, options.api, [] { return RandomId(); }),
      deliver_(std::move(deliver)),
      calls_(options.call_capacity) {}

BatchApiThread::~BatchApiThread() {
  Stop();
}

bool BatchApiThread::TryCall(BatchHttpCall& call) {
  const size_t bytes = call.request.body.size();
  if (waiting_bytes_.fetch_add(bytes) + bytes > options_.max_waiting_bytes ||
      !calls_.TryPush(call)) {
    waiting_bytes_ -= bytes;
    return false;
  }
  return true;
}

void BatchApiThread::Stop() {
  calls_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void BatchApiThread::Run() {
  while (std::optional<BatchHttpCall> call = calls_.Pop()) {
    const auto now = std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
    BatchApi::Reply reply =
        api_.Handle(call->request, call->workspace, *call->config, now);
    waiting_bytes_ -= call->request.body.size();
    call->exchange->Respond(reply.http_status, reply.headers,
                            std::move(reply.body));
    if (reply.event) {
      deliver_(*std::move(reply.event));
    }
  }
}

}  // namespace carawayrelay
