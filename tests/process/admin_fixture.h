#pragma once

#include <memory>
#include <string>
#include <utility>

#include "carawayrelay/process.h"
#include "process/fake_store.h"

namespace carawayrelay {

// Serves AdminApi on a free port, with a FakeStore as the store.
struct AdminFixture {
  FakeStore platform;
  std::unique_ptr<ConfigWatch> watch =
      ConfigWatch::Make({.store_client = {.base_url = platform.url()}},
                        [](const ConfigEvent&) {})
          .value();
  AdminApi api{*watch, {.node = "n1", .zone = "z1", .entry_status = [] {
                          return std::string(R"({"requests":3})");
                        }}};
  std::pair<std::unique_ptr<HttpServer>, std::string> server = ServeOnFreePort(
      [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
        api.Handle(request, exchange);
      });

  ~AdminFixture() {
    watch->Stop();
    server.first->Stop();
  }
};

}  // namespace carawayrelay
