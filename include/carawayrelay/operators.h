#pragma once

// Library for operators who describe a configuration in C++ and print it as
// JSON for `carawayrelay apply`. Header-only; requires nlohmann_json, and
// OpenSSL (libcrypto) to hash the secrets of keys.

#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayrelay::operators {

// A workspace. Rate and burst are in requests and apply to all entries
// together.
struct Workspace {
  std::string name;
  double rate_per_second = 0;
  double burst = 1;
  double weight = 1;  // relative share when capacity is scarce
};

enum class RouteKind { kModel, kService };

// A route that clients address by its name. A route that lists no workspaces
// may be used by all of them. Requests on an open route need no key.
struct Route {
  std::string name;
  RouteKind kind = RouteKind::kModel;
  bool open = false;
  bool repeatable = true;  // false when a call must run at most once
  std::vector<std::string> workspaces;
};

// A key with the salted hash of its secret: hex SHA-256 of the salt followed by
// the secret.
struct HashedKey {
  std::string id;
  std::string workspace;
  std::string salt;
  std::string hash;
};

namespace internal {

inline std::string ToHex(const unsigned char* bytes, size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (size_t i = 0; i < count; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4]);
    hex.push_back(kDigits[bytes[i] & 0xF]);
  }
  return hex;
}

}  // namespace internal

// Hashes the secret of a key with a random salt. The client's bearer token is
// "cr_<id>_<secret>"; the secret must not contain "_". Throws
// std::runtime_error when the system provides no random bytes.
inline HashedKey HashKey(std::string id,
                         std::string workspace,
                         const std::string& secret) {
  std::array<unsigned char, 16> salt{};
  if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1) {
    throw std::runtime_error("no random bytes available");
  }
  HashedKey key{.id = std::move(id),
                .workspace = std::move(workspace),
                .salt = internal::ToHex(salt.data(), salt.size())};
  const std::string salted = key.salt + secret;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(),
         digest.data());
  key.hash = internal::ToHex(digest.data(), digest.size());
  return key;
}

// Builds a configuration. It does not check references and ranges:
// `carawayrelay check` does, and so does the entry when the configuration is
// applied.
class ConfigBuilder {
 public:
  ConfigBuilder& Add(Workspace workspace) {
    workspaces_.push_back(std::move(workspace));
    return *this;
  }
  ConfigBuilder& Add(HashedKey key) {
    keys_.push_back(std::move(key));
    return *this;
  }
  ConfigBuilder& Add(Route route) {
    routes_.push_back(std::move(route));
    return *this;
  }
  ConfigBuilder& TakeZoneOut(std::string zone) {
    zones_out_.push_back(std::move(zone));
    return *this;
  }

  // Returns the complete document as indented JSON.
  std::string ToJson() const {
    nlohmann::json root = {{"workspaces", nlohmann::json::array()},
                           {"keys", nlohmann::json::array()},
                           {"routes", nlohmann::json::array()},
                           {"zones_out", zones_out_}};
    for (const Workspace& workspace : workspaces_) {
      root["workspaces"].push_back(
          {{"name", workspace.name},
           {"rate_per_second", workspace.rate_per_second},
           {"burst", workspace.burst},
           {"weight", workspace.weight}});
    }
    for (const HashedKey& key : keys_) {
      root["keys"].push_back({{"id", key.id},
                              {"workspace", key.workspace},
                              {"salt", key.salt},
                              {"hash", key.hash}});
    }
    for (const Route& route : routes_) {
      root["routes"].push_back(
          {{"name", route.name},
           {"kind", route.kind == RouteKind::kModel ? "model" : "service"},
           {"open", route.open},
           {"repeatable", route.repeatable},
           {"workspaces", route.workspaces}});
    }
    return root.dump(2);
  }

 private:
  std::vector<Workspace> workspaces_;
  std::vector<HashedKey> keys_;
  std::vector<Route> routes_;
  std::vector<std::string> zones_out_;
};

}  // namespace carawayrelay::operators
