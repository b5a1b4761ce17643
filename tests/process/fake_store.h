#pragma once

#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "carawayrelay/process.h"
#include "standins/row_store.h"

namespace carawayrelay {

// Starts a server on a free port. Several test programs may run at the same
// time, so the first port that is tried depends on the process id.
inline std::pair<std::unique_ptr<HttpServer>, std::string> ServeOnFreePort(
    const HttpServer::Handler& handler) {
  static int next = 20000 + static_cast<int>(::getpid() % 10000);
  for (int tries = 0; tries < 100; ++tries) {
    const std::string address = "127.0.0.1:" + std::to_string(next++);
    auto server = HttpServer::Make({.listen_address = address}, handler);
    if (server) {
      return {std::move(server).value(), "http://" + address};
    }
  }
  std::abort();
}

// A store in memory behind an HTTP server that can inject faults.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    kDropRequest,   // no effect, no response
    kLoseResponse,  // effect, but no response
    kRefuse,        // 503
  };

  FakeStore() {
    std::tie(server_, url_) = ServeOnFreePort(
        [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
          Handle(request, *exchange);
        });
  }
  ~FakeStore() { server_->Stop(); }

  const std::string& url() const { return url_; }

  // Selects the fault of each write. Reads succeed unless `reads_fail` is set.
  std::function<Fault()> on_write;
  std::atomic<bool> reads_fail = false;
  std::atomic<int> reads = 0;

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    store_.Put(table, "", key, value);
  }
  void PutObject(const std::string& name, const std::string& data) {
    std::lock_guard lock(mutex_);
    store_.PutObject(name, data);
  }
  std::string Get(const std::string& table, const std::string& key) {
    std::lock_guard lock(mutex_);
    return store_.Get(table, "", key);
  }
  // Writes the row of one VM.
  void PutVm(const std::string& key, const nlohmann::json& vm) {
    Put("vms", key, vm.dump());
  }

 private:
  void Handle(const HttpRequest& request, HttpExchange& exchange) {
    const bool is_read = request.method == "GET";
    reads += is_read ? 1 : 0;
    const Fault fault = is_read    ? reads_fail ? Fault::kRefuse : Fault::kNone
                        : on_write ? on_write()
                                   : Fault::kNone;
    if (fault == Fault::kDropRequest) {
      exchange.Abort();
      return;
    }
    if (fault == Fault::kRefuse) {
      exchange.Respond(503, {}, "");
      return;
    }
    RowStore::Answer answer;
    {
      std::lock_guard lock(mutex_);
      answer = store_.Handle(request.method,
                             request.query.empty()
                                 ? request.path
                                 : request.path + "?" + request.query,
                             request.body);
    }
    if (fault == Fault::kLoseResponse) {
      exchange.Abort();
      return;
    }
    exchange.Respond(answer.status, {}, answer.body);
  }

  std::mutex mutex_;
  RowStore store_;
  std::string url_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace carawayrelay
