// Prints a configuration: make_config >config.json && carawayrelay apply
// config.json. The secret of the key comes from the environment variable
// TELAR_SECRET.

#include <cstdlib>
#include <iostream>
#include <string>

#include "carawayrelay/operators.h"

int main() {
  using namespace carawayrelay::operators;  // NOLINT

  const char* secret = std::getenv("TELAR_SECRET");
  if (secret == nullptr) {
    std::cerr << "TELAR_SECRET is not set\n";
    return 2;
  }
  ConfigBuilder config;
  config.Add(Workspace{.name = "telar", .rate_per_second = 200, .burst = 400});
  config.Add(Workspace{.name = "guests", .rate_per_second = 5, .burst = 10});
  config.Add(HashKey("telar1", "telar", secret));
  config.Add(Route{.name = "chat-large", .workspaces = {"telar"}});
  config.Add(Route{.name = "invoices",
                   .kind = RouteKind::kService,
                   .repeatable = false,
                   .workspaces = {"telar"}});
  std::cout << config.ToJson() << '\n';
  return 0;
}
