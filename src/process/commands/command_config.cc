#include "process/commands/command_config.h"

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>

#include "process/commands/admin_client.h"
#include "process/commands/command_check.h"
#include "process/commands/text_file.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr int kMaxTries = 8;
// The wait is random, because two operators with equal waits would conflict
// again on each try.
constexpr std::chrono::milliseconds kMinRetryWait{20};
constexpr std::chrono::milliseconds kMaxRetryWait{300};

// Changes the document and returns whether it differs from before.
using Edit = std::function<Result<bool>(ConfigDocument&)>;

ExitCode ReportError(const Error& error, const CommandContext& context) {
  context.err << error.message << '\n';
  if (error.code == ErrorCode::kUnknown) {
    context.err << "the change may or may not be in effect; check with "
                   "'carawayrelay status' and repeat it if needed\n";
  }
  return ToExitCode(error.code);
}

// Reads, edits and publishes the configuration once. Returns the version that
// contains the change, which is the current one if `edit` changed nothing.
Result<ConfigVersion> TryEdit(AdminClient& client, const Edit& edit) {
  BOOST_OUTCOME_TRY(AdminConfig config, client.Read());
  BOOST_OUTCOME_TRY(const bool changed, edit(config.document));
  if (!changed) {
    return config.version;
  }
  Findings findings;
  if (!ParseConfigDocument(ToJson(config.document), findings)) {
    return Error{ErrorCode::kInvalid, findings.ToText()};
  }
  return client.Publish(config.version, config.document);
}

void WaitBeforeRetry() {
  static std::minstd_rand random{std::random_device()()};
  std::uniform_int_distribution<std::chrono::milliseconds::rep> wait(
      kMinRetryWait.count(), kMaxRetryWait.count());
  std::this_thread::sleep_for(std::chrono::milliseconds(wait(random)));
}

ExitCode RunEdit(const Edit& edit,
                 const std::string& success_text,
                 const CommandContext& context) {
  const auto client = AdminClient::Make(context.admin_urls);
  if (!client) {
    return ReportError(client.error(), context);
  }
  for (int tries = 1;; ++tries) {
    const Result<ConfigVersion> version = TryEdit(*client.value(), edit);
    if (version) {
      context.out << success_text << "; configuration version "
                  << ToInt(version.value()) << '\n';
      return ExitCode::kOk;
    }
    if (version.error().code != ErrorCode::kConflict || tries == kMaxTries) {
      return ReportError(version.error(), context);
    }
    WaitBeforeRetry();
  }
}

std::string AgeText(const json& age_ms) {
  return age_ms.is_number()
             ? "read " + std::to_string(age_ms.get<std::int64_t>()) + " ms ago"
             : "not read yet";
}

void PrintStatus(const std::string& url,
                 const json& status,
                 std::ostream& out) {
  const json config = status.value("config", json());
  const json vms = status.value("vms", json::array());
  out << url << ": node " << status.value("node", "?") << ", zone "
      << status.value("zone", "?") << ", program "
      << status.value("program_version", "?") << '\n';
  if (config.is_object()) {
    out << "  configuration " << config.value("version", 0) << " "
        << config.value("hash", "") << '\n';
    const auto zones = config.value("zones_out", std::vector<std::string>());
    for (const std::string& zone : zones) {
      out << "  zone out: " << zone << '\n';
    }
  } else {
    out << "  no configuration yet\n";
  }
  out << "  platform " << AgeText(status.value("platform_age_ms", json()))
      << ", " << vms.size() << " VMs\n";
  for (const json& vm : vms) {
    out << "    " << vm.value("node", "?") << " " << vm.value("role", "?")
        << " " << vm.value("zone", "?") << " " << vm.value("address", "?")
        << (vm.value("leaving", false) ? " leaving" : "") << '\n';
  }
  if (status.contains("entry")) {
    out << "  entry " << status["entry"].dump() << '\n';
  }
}

}  // namespace

ExitCode RunApply(const ApplyCommand& command, const CommandContext& context) {
  const Result<std::string> text = ReadTextFile(command.file);
  if (!text) {
    return ReportError(text.error(), context);
  }
  Findings findings;
  const auto document = ParseConfigDocument(text.value(), findings);
  if (!document) {
    PrintFindings(command.file, findings, context.err);
    return ExitCode::kInvalidInput;
  }
  const auto client = AdminClient::Make(context.admin_urls);
  if (!client) {
    return ReportError(client.error(), context);
  }
  const Result<AdminConfig> current = client.value()->Read();
  if (!current) {
    return ReportError(current.error(), context);
  }
  const ConfigVersion based_on =
      command.based_on.value_or(current.value().version);
  const bool is_current = based_on == current.value().version &&
                          ToJson(current.value().document) == ToJson(*document);
  const Result<ConfigVersion> version =
      is_current ? Result<ConfigVersion>(based_on)
                 : client.value()->Publish(based_on, *document);
  if (!version) {
    return ReportError(version.error(), context);
  }
  context.out << command.file << " is configuration version "
              << ToInt(version.value()) << '\n';
  return ExitCode::kOk;
}

ExitCode RunKeyIssue(const KeyIssueCommand& command,
                     const CommandContext& context) {
  const Result<IssuedKey> key = IssueKey(command.workspace);
  if (!key) {
    return ReportError(key.error(), context);
  }
  const KeyConfig& config = key.value().config;
  const ExitCode code = RunEdit(
      [&](ConfigDocument& document) { return AddKey(document, config); },
      "key " + config.id + " of workspace " + command.workspace + " issued",
      context);
  if (code == ExitCode::kOk) {
    context.out << key.value().bearer_token << '\n';
  } else if (code == ExitCode::kUnknownEffect) {
    context.err << "withdraw key " << config.id
                << " if it exists; its secret cannot be recovered\n";
  }
  return code;
}

ExitCode RunKeyWithdraw(const KeyWithdrawCommand& command,
                        const CommandContext& context) {
  return RunEdit(
      [&](ConfigDocument& document) {
        return WithdrawKey(document, command.key_id);
      },
      "key " + command.key_id + " withdrawn", context);
}

ExitCode RunRouteSet(const RouteSetCommand& command,
                     const CommandContext& context) {
  return RunEdit(
      [&](ConfigDocument& document) {
        return SetRoute(document, command.route);
      },
      "route " + command.route.name + " set", context);
}

ExitCode RunRouteRemove(const RouteRemoveCommand& command,
                        const CommandContext& context) {
  return RunEdit(
      [&](ConfigDocument& document) {
        return RemoveRoute(document, command.name);
      },
      "route " + command.name + " removed", context);
}

ExitCode RunZoneOut(const ZoneOutCommand& command,
                    const CommandContext& context) {
  return RunEdit(
      [&](ConfigDocument& document) {
        return TakeZoneOut(document, command.zone);
      },
      "zone " + command.zone + " out", context);
}

ExitCode RunZoneIn(const ZoneInCommand& command,
                   const CommandContext& context) {
  return RunEdit(
      [&](ConfigDocument& document) {
        return BringZoneIn(document, command.zone);
      },
      "zone " + command.zone + " in", context);
}

ExitCode RunStatus(const CommandContext& context) {
  if (context.admin_urls.empty()) {
    return ReportError(AdminClient::Make({}).error(), context);
  }
  ExitCode code = ExitCode::kOk;
  for (const std::string& url : context.admin_urls) {
    const Result<std::string> body = AdminClient::Status(url);
    const json status =
        body ? json::parse(body.value(), nullptr, false) : json();
    if (status.is_object()) {
      PrintStatus(url, status, context.out);
      continue;
    }
    context.err << (body ? url + ": malformed response"
                         : url + ": " + body.error().message)
                << '\n';
    code = !body && body.error().code == ErrorCode::kInvalid
               ? ExitCode::kInvalidInput
               : ExitCode::kUnavailable;
  }
  return code;
}

}  // namespace carawayrelay
