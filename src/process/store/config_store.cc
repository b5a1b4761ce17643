#include "process/store/config_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr const char* kTable = "config";
constexpr const char* kPointerKey = "current";

std::string ObjectName(const ConfigSnapshot& config) {
  return "config/" + std::to_string(ToInt(config.version())) + "-" +
         config.content_hash();
}

std::string PointerValue(const ConfigSnapshot& config) {
  const json value = {{"version", ToInt(config.version())},
                      {"hash", config.content_hash()},
                      {"object", ObjectName(config)}};
  return value.dump();
}

}  // namespace

Result<ConfigStore::Pointer> ConfigStore::ReadPointer() {
  const Result<Row> row = store_client_.ReadRow(kTable, kPointerKey);
  if (!row) {
    if (row.error().code == ErrorCode::kNotFound) {
      return Pointer{};
    }
    return row.error();
  }
  const json value = json::parse(row.value().value, nullptr, false);
  try {
    return Pointer{
        .version = ConfigVersion{value.at("version").get<std::uint64_t>()},
        .hash = value.at("hash").get<std::string>(),
        .object = value.at("object").get<std::string>(),
        .etag = row.value().etag};
  } catch (const json::exception&) {
    return Error{ErrorCode::kInvalid, "row config/current is malformed"};
  }
}

Result<ConfigPtr> ConfigStore::ReadNewer(ConfigVersion known_version) {
  BOOST_OUTCOME_TRY(const Pointer pointer, ReadPointer());
  if (pointer.version <= known_version) {
    return ConfigPtr();
  }
  BOOST_OUTCOME_TRY(std::string document,
                    store_client_.ReadObject(pointer.object));
  BOOST_OUTCOME_TRY(ConfigPtr config,
                    ConfigSnapshot::Make(pointer.version, std::move(document)));
  if (config->content_hash() != pointer.hash) {
    return Error{ErrorCode::kInvalid,
                 "object " + pointer.object + " does not have the hash " +
                     pointer.hash + " that row config/current names"};
  }
  return config;
}

PublishOutcome ConfigStore::Publish(ConfigVersion based_on,
                                    const std::string& document) {
  const Result<Pointer> pointer = ReadPointer();
  if (!pointer) {
    return ConfigFailed{pointer.error()};
  }
  if (pointer.value().version != based_on) {
    return ConfigConflict{pointer.value().version};
  }
  const Result<ConfigPtr> config =
      ConfigSnapshot::Make(ConfigVersion{ToInt(based_on) + 1}, document);
  if (!config) {
    return ConfigFailed{config.error()};
  }
  const Result<void> object =
      store_client_.WriteObject(ObjectName(*config.value()), document);
  if (!object) {
    // Readers follow only the row, so an object that no row names has no
    // effect.
    return ConfigFailed{{ErrorCode::kUnavailable, object.error().message}};
  }
  const std::string value = PointerValue(*config.value());
  const Result<std::string> written =
      pointer.value().etag.empty()
          ? store_client_.CreateRow(kTable, kPointerKey, value)
          : store_client_.UpdateRow(kTable, kPointerKey, value,
                                    pointer.value().etag);
  if (written) {
    return ConfigPublished{config.value()};
  }
  if (written.error().code == ErrorCode::kConflict ||
      written.error().code == ErrorCode::kUnknown) {
    return ResolveLostWrite(config.value(), written.error());
  }
  return ConfigFailed{written.error()};
}

PublishOutcome ConfigStore::ResolveLostWrite(const ConfigPtr& config,
                                             const Error& error) {
  const Result<Pointer> pointer = ReadPointer();
  if (!pointer || pointer.value().version < config->version()) {
    return ConfigFailed{error};
  }
  if (pointer.value().version > config->version()) {
    // The version in between may be this write or one of another operator.
    return ConfigFailed{
        {ErrorCode::kUnknown,
         "version " + std::to_string(ToInt(pointer.value().version)) +
             " is current; it may or may not be based on this write"}};
  }
  if (pointer.value().hash == config->content_hash()) {
    return ConfigPublished{config};
  }
  return ConfigConflict{pointer.value().version};
}

}  // namespace carawayrelay
