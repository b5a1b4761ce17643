#include "process/entry/entry_settings.h"

#include <nlohmann/json.hpp>

#include "process/transport/endpoint.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr double kMaxBytes = double{size_t{1} << 40};
constexpr double kMaxMilliseconds = 86400000;
constexpr double kMaxCount = 1000000;
constexpr std::string_view kUrlScheme = "http://";

void CheckAddress(const std::string& address,
                  const std::string& path,
                  Findings& findings) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    findings.Add(path, endpoint.error().message);
  }
}

std::string ReadAddress(JsonReader& reader,
                        const std::string& name,
                        Findings& findings) {
  std::string address = reader.RequiredString(name);
  if (!address.empty()) {
    CheckAddress(address, reader.PathOf(name), findings);
  }
  return address;
}

std::vector<std::string> ReadAddresses(JsonReader& reader,
                                       const std::string& name,
                                       Findings& findings) {
  std::vector<std::string> addresses = reader.StringList(name);
  for (size_t i = 0; i < addresses.size(); ++i) {
    CheckAddress(addresses[i], reader.PathOf(name) + "/" + std::to_string(i),
                 findings);
  }
  return addresses;
}

size_t ReadSize(JsonReader& reader,
                const std::string& name,
                double max,
                size_t fallback) {
  return static_cast<size_t>(
      reader.OptionalNumber(name, 1, max, static_cast<double>(fallback)));
}

milliseconds ReadTime(JsonReader& reader,
                      const std::string& name,
                      milliseconds fallback) {
  return milliseconds(static_cast<milliseconds::rep>(reader.OptionalNumber(
      name, 0, kMaxMilliseconds, static_cast<double>(fallback.count()))));
}

// If the object field `name` is present, calls `read` with a reader of it and
// reports its unknown fields.
template <class Read>
void ReadObject(JsonReader& root,
                const std::string& name,
                Findings& findings,
                Read read) {
  if (const json* object = root.Find(name)) {
    JsonReader reader(*object, root.PathOf(name), findings);
    read(reader);
    reader.CheckUnknownFields();
  }
}

void ReadLimits(JsonReader& reader,
                EntrySettings& settings,
                Findings& findings) {
  Dispatcher::Options& options = settings.dispatcher;
  settings.max_body_bytes =
      ReadSize(reader, "max_body_bytes", kMaxBytes, settings.max_body_bytes);
  settings.memory = ReadMemoryLimits(reader, settings.max_body_bytes, findings);
  options.queue_capacity =
      ReadSize(reader, "queue_capacity", kMaxCount, options.queue_capacity);
  options.max_total_body_bytes = ReadSize(reader, "max_held_bytes", kMaxBytes,
                                          options.max_total_body_bytes);
  options.max_response_bytes = ReadSize(reader, "max_answer_bytes", kMaxBytes,
                                        options.max_response_bytes);
  options.time_limit =
      ReadTime(reader, "request_time_limit_ms", options.time_limit);
  options.zone_out_grace =
      ReadTime(reader, "zone_out_grace_ms", options.zone_out_grace);
}

void ReadPolicies(JsonReader& reader, EntrySettings& settings) {
  Dispatcher::Options& options = settings.dispatcher;
  const double load_factor = reader.OptionalNumber(
      "prefix_load_factor", 1, 100, PrefixAffinity{}.load_factor);
  const std::array<ChoicePolicy, 3> choices = {
      RoundRobin{}, PowerOfTwoChoices{}, PrefixAffinity{load_factor}};
  options.choice = choices.at(reader.OptionalChoice(
      "choice", {"round_robin", "power_of_two", "prefix_affinity"}, 1));
  const std::array<FairPolicy, 3> fairness = {FifoOrder{}, DeficitRoundRobin{},
                                              VirtualTokenCounter{}};
  options.fairness = fairness.at(reader.OptionalChoice(
      "fairness", {"fifo", "deficit_round_robin", "virtual_token_counter"}, 2));
  // With "local" each entry admits the full rate of a workspace without leases;
  // it serves as a baseline for comparisons.
  if (reader.OptionalChoice("limits", {"shared", "local"}, 0) == 1) {
    options.shared_limits.reset();
  }
  options.retry.max_attempts = static_cast<int>(
      reader.OptionalNumber("max_attempts", 1, 3, options.retry.max_attempts));
}

}  // namespace

std::optional<EntrySettings> ParseEntrySettings(const std::string& text,
                                                Findings& findings) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (root.is_discarded()) {
    findings.Add("", "is not JSON");
    return std::nullopt;
  }
  EntrySettings settings;
  JsonReader reader(root, "", findings);
  settings.node = reader.RequiredString("node");
  settings.zone = reader.RequiredString("zone");
  settings.dispatcher.zone = settings.zone;
  settings.dispatcher.shared_limits =
      SharedLimits::Options{.node = settings.node};
  settings.listen_callers = ReadAddress(reader, "listen_callers", findings);
  settings.listen_admin = ReadAddress(reader, "listen_admin", findings);
  settings.listen_links = ReadAddress(reader, "listen_links", findings);
  settings.platform_url = reader.RequiredString("platform_url");
  if (!settings.platform_url.empty()) {
    if (!settings.platform_url.starts_with(kUrlScheme)) {
      findings.Add(reader.PathOf("platform_url"), "must begin with http://");
    } else {
      CheckAddress(settings.platform_url.substr(kUrlScheme.size()),
                   reader.PathOf("platform_url"), findings);
    }
  }
  settings.traces_url = reader.OptionalString("traces_url", "");
  settings.seed_agents = ReadAddresses(reader, "seed_agents", findings);
  settings.seed_peers = ReadAddresses(reader, "seed_peers", findings);
  settings.log_level = static_cast<LogLevel>(
      reader.OptionalChoice("log_level", {"debug", "info", "warning", "error"},
                            static_cast<size_t>(LogLevel::kInfo)));
  ReadObject(reader, "limits", findings, [&](JsonReader& limits) {
    ReadLimits(limits, settings, findings);
  });
  ReadObject(reader, "policies", findings,
             [&](JsonReader& policies) { ReadPolicies(policies, settings); });
  reader.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace carawayrelay
