#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>

#include "process/fake_store.h"
#include "standins/row_store.h"

namespace carawayrelay {

// The store as a server on loopback. Calls that wait for changes are answered
// with the next other call, so that watches cause little load.
class LoopbackStore {
 public:
  LoopbackStore() {
    std::tie(server_, url_) = ServeOnFreePort(
        [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
          Handle(request, exchange);
        });
  }
  // An exchange must not be used after its server has stopped.
  ~LoopbackStore() {
    {
      const std::lock_guard lock(mutex_);
      watches_.clear();
    }
    server_->Stop();
  }

  std::string address() const { return url_.substr(url_.rfind('/') + 1); }
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& row) {
    const std::lock_guard lock(mutex_);
    rows_.Put(table, "", key, row.dump());
  }
  std::string Get(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    return rows_.Get(table, "", key);
  }

 private:
  struct Watch {
    std::string target;
    HttpExchangePtr exchange;
  };

  void Handle(const HttpRequest& request, const HttpExchangePtr& exchange) {
    const std::lock_guard lock(mutex_);
    const std::string target = request.query.empty()
                                   ? request.path
                                   : request.path + "?" + request.query;
    for (const Watch& watch : std::exchange(watches_, {})) {
      Respond(*watch.exchange, rows_.Handle("GET", watch.target, ""));
    }
    if (rows_.HasChanges(target)) {
      Respond(*exchange, rows_.Handle(request.method, target, request.body));
    } else {
      watches_.push_back({.target = target, .exchange = exchange});
    }
  }
  static void Respond(HttpExchange& exchange,
                      const RowStore::Response& answer) {
    exchange.Respond(answer.status, {}, answer.body);
  }

  std::mutex mutex_;
  RowStore rows_;
  std::deque<Watch> watches_;
  std::string url_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace carawayrelay
