#pragma once

#include <unistd.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "carawayrelay/process.h"

namespace carawayrelay {

// Makes a server on a free port; several test programs may run at once.
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

// The platform's tables and objects in two maps, with faults.
class FakePlatform {
 public:
  enum class Fault {
    kNone,
    kDropRequest,   // no effect, no response
    kLoseResponse,  // effect, but no response
    kRefuse,        // 503
  };

  FakePlatform() {
    std::tie(server_, url_) = ServeOnFreePort(
        [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
          Handle(request, *exchange);
        });
  }
  ~FakePlatform() { server_->Stop(); }

  const std::string& url() const { return url_; }

  // Decides the fault of each write; reads work unless `reads_fail`.
  std::function<Fault()> on_write;
  std::atomic<bool> reads_fail = false;
  std::atomic<int> reads = 0;
  nlohmann::json vms = nlohmann::json::array();

  void Put(const std::string& path, const std::string& value) {
    std::lock_guard lock(mutex_);
    Store(path, value);
  }

  std::string Get(const std::string& path) {
    std::lock_guard lock(mutex_);
    return rows_.contains(path) ? rows_.at(path).value : std::string();
  }

 private:
  static std::string Decode(const std::string& text) {
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%') {
        decoded +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    return decoded;
  }

  void Store(const std::string& path, const std::string& value) {
    rows_[path] = {.value = value,
                   .etag = "\"" + std::to_string(++etag_) + "\""};
  }

  void Handle(const HttpRequest& request, HttpExchange& exchange) {
    if (request.method == "GET") {
      ++reads;
      if (reads_fail) {
        exchange.Reply(503, {}, "");
        return;
      }
      HandleRead(request, exchange);
      return;
    }
    const Fault fault = on_write ? on_write() : Fault::kNone;
    if (fault == Fault::kDropRequest) {
      exchange.Abort();
      return;
    }
    if (fault == Fault::kRefuse) {
      exchange.Reply(503, {}, "");
      return;
    }
    const auto [status, etag] = Write(request);
    if (fault == Fault::kLoseResponse) {
      exchange.Abort();
      return;
    }
    exchange.Reply(status, {{"ETag", etag}}, "");
  }

  void HandleRead(const HttpRequest& request, HttpExchange& exchange) {
    std::lock_guard lock(mutex_);
    if (request.path == "/v1/vms") {
      exchange.Reply(200, {}, nlohmann::json{{"vms", vms}}.dump());
      return;
    }
    const std::string path = Decode(request.path);
    if (rows_.contains(path)) {
      exchange.Reply(200, {{"ETag", rows_[path].etag}}, rows_[path].value);
      return;
    }
    if (request.query.empty()) {
      exchange.Reply(404, {}, "");
      return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(path + "/")) {
        list.push_back({{"key", key.substr(path.size() + 1)},
                        {"etag", row.etag},
                        {"value", row.value}});
      }
    }
    exchange.Reply(200, {}, nlohmann::json{{"rows", list}}.dump());
  }

  std::pair<int, std::string> Write(const HttpRequest& request) {
    std::lock_guard lock(mutex_);
    const std::string path = Decode(request.path);
    const auto match = request.headers.find("if-match");
    const bool exists = rows_.contains(path);
    const bool allowed = match == request.headers.end()
                             ? !exists
                             : exists && rows_[path].etag == match->second;
    if (!allowed) {
      return {412, ""};
    }
    if (request.method == "DELETE") {
      rows_.erase(path);
      return {204, ""};
    }
    Store(path, request.body);
    return {200, rows_[path].etag};
  }

  std::mutex mutex_;
  std::map<std::string, Row> rows_;
  int etag_ = 0;
  std::string url_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace carawayrelay
