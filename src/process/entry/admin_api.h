#pragma once

#include <functional>
#include <string>

#include "carawayrelay/version.h"
#include "process/store/config_watch.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// The operators' HTTP interface of an entry: GET and POST /admin/config and
// GET /admin/status. It keeps no state; answers come from the config thread.
class AdminApi {
 public:
  struct Options {
    std::string node;
    std::string zone;
    // Text of a JSON object that GET /admin/status returns as "entry", or
    // empty. Called on the config thread, must not wait.
    std::function<std::string()> entry_status;
  };

  // `watch` must outlive the object.
  AdminApi(ConfigWatch& watch, Options options);

  // Replies on the exchange, at once or later from the config thread. Unknown
  // paths get 404. Does not wait.
  void Handle(const HttpRequest& request, const HttpExchangePtr& exchange);

 private:
  void GetConfig(const HttpExchangePtr& exchange);
  void GetStatus(const HttpExchangePtr& exchange);
  void PostConfig(const HttpRequest& request, const HttpExchangePtr& exchange);

  ConfigWatch& watch_;
  const Options options_;
};

}  // namespace carawayrelay
