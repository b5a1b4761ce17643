#include "version/issued_key.h"

#include <openssl/rand.h>

#include <array>

#include "version/secret_hash.h"

namespace carawayrelay {
namespace {

constexpr size_t kIdBytes = 8;
constexpr size_t kSaltBytes = 16;
// 256 random bits cannot be found by brute force, so a fast hash protects the
// secret well enough.
constexpr size_t kSecretBytes = 32;

template <size_t Bytes>
Result<std::string> RandomHex() {
  std::array<unsigned char, Bytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Error{ErrorCode::kUnavailable, "no random bytes available"};
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : bytes) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xF]);
  }
  return hex;
}

}  // namespace

Result<IssuedKey> IssueKey(const std::string& workspace) {
  BOOST_OUTCOME_TRY(const std::string id, RandomHex<kIdBytes>());
  BOOST_OUTCOME_TRY(const std::string salt, RandomHex<kSaltBytes>());
  BOOST_OUTCOME_TRY(const std::string secret, RandomHex<kSecretBytes>());
  return IssuedKey{.config = {.id = id,
                              .workspace = workspace,
                              .salt = salt,
                              .hash = Sha256Hex(salt + secret)},
                   .bearer_token = "cr_" + id + "_" + secret};
}

}  // namespace carawayrelay
