#include "process/batch/batch_store_thread.h"

#include <chrono>
#include <random>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {

std::string RandomId() {
  constexpr int kWords = 4;
  std::random_device random;
  std::string id;
  for (int i = 0; i < kWords; ++i) {
    id += fmt::format("{:08x}", random());
  }
  return id;
}

Result<std::unique_ptr<BatchStoreThread>> BatchStoreThread::Make(
    const Options& options,
    BatchStoreWorker::Deliver deliver) {
  BOOST_OUTCOME_TRY(std::unique_ptr<BlockingStoreClient> client,
                    BlockingStoreClient::Make(options.platform));
  std::unique_ptr<BatchStoreThread> made(
      new BatchStoreThread(options, std::move(client), std::move(deliver)));
  made->thread_ = std::thread([thread = made.get()] { thread->Run(); });
  return made;
}

BatchStoreThread::BatchStoreThread(const Options& options,
                                   std::unique_ptr<BlockingStoreClient> client,
                                   BatchStoreWorker::Deliver deliver)
    : client_(std::move(client)),
      worker_(options.worker,
              MakeStoreAccess(*client_),
              {.clock = [] { return BootClock::now(); },
               .wall_clock =
                   [] {
                     return std::chrono::floor<std::chrono::seconds>(
                         std::chrono::system_clock::now());
                   },
               .random_id = [] { return RandomId(); }},
              std::move(deliver)),
      requests_(options.request_capacity) {}

BatchStoreThread::~BatchStoreThread() {
  Stop();
}

bool BatchStoreThread::TryRequest(BatchStoreRequest request) {
  return requests_.TryPush(std::move(request));
}

void BatchStoreThread::Stop() {
  requests_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void BatchStoreThread::Run() {
  while (true) {
    // Checked before each operation, so that the lease does not expire during a
    // long series of requests.
    if (BootClock::now() >= worker_.next_renewal()) {
      worker_.Renew();
    }
    const std::optional<BatchStoreRequest> request =
        requests_.PopUntil(worker_.next_renewal());
    if (request) {
      worker_.Perform(*request);
    } else if (requests_.IsClosed()) {
      break;
    }
  }
  worker_.EndSession();
}

}  // namespace carawayrelay
