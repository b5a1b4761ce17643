#pragma once

#include <functional>
#include <string>

#include "carawayrelay/version.h"
#include "process/store/config_watch.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// The operators' HTTP API of an entry: GET and POST /admin/config and
// GET /admin/status. Stateless; the config thread supplies the responses.
class AdminApi {
 public:
  struct Options {
    std::string node;
    std::string zone;
    // Returns the JSON object that GET /admin/status includes as "entry".
    // Unset: the field is left out. Runs on the config thread and must not
    // block.
    std::function<std::string()> entry_status;
  };

  // `watch` must outlive this object.
  AdminApi(ConfigWatch& watch, Options options);

  // Replies on the exchange, either before returning or later on the config
  // thread. Unknown paths get status 404. Does not block.
  void Handle(const HttpRequest& request, const HttpExchangePtr& exchange);

 private:
  void GetConfig(const HttpExchangePtr& exchange);
  void GetStatus(const HttpExchangePtr& exchange);
  void PostConfig(const HttpRequest& request, const HttpExchangePtr& exchange);

  ConfigWatch& watch_;
  const Options options_;
};

}  // namespace carawayrelay
