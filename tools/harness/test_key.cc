#include "harness/test_key.h"

namespace carawayrelay::tools {

TestKey MakeTestKey(const std::string& id, const std::string& workspace) {
  const std::string secret = Sha256Hex("secret of " + id).substr(0, 32);
  KeyConfig config;
  config.id = id;
  config.workspace = workspace;
  config.salt = Sha256Hex("salt of " + id).substr(0, 16);
  config.hash = Sha256Hex(config.salt + secret);
  return {"cr_" + id + "_" + secret, config};
}

}  // namespace carawayrelay::tools
