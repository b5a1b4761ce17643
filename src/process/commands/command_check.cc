#include "process/commands/command_check.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "process/commands/text_file.h"
#include "process/serving/serving_settings.h"
#if __has_include("process/entry/entry_settings.h")
#include "process/entry/entry_settings.h"
#endif
#if __has_include("process/agent/agent_settings.h")
#include "process/agent/agent_settings.h"
#endif

namespace carawayrelay {
namespace {

struct KindFields {
  FileKind kind;
  std::vector<std::string_view> fields;  // names that only this kind has
};

void CheckEntry([[maybe_unused]] const std::string& text, Findings& findings) {
#if __has_include("process/entry/entry_settings.h")
  ParseEntrySettings(text, findings);
#else
  findings.Add("", "this build has no entry role");
#endif
}

void CheckAgent([[maybe_unused]] const std::string& text, Findings& findings) {
#if __has_include("process/agent/agent_settings.h")
  ParseAgentSettings(text, findings);
#else
  findings.Add("", "this build has no agent role");
#endif
}

void CheckFrontend(const std::string& text, Findings& findings) {
  ParseFrontendSettings(text, findings);
}

void CheckWorker(const std::string& text, Findings& findings) {
  ParseWorkerSettings(text, findings);
}

void CheckKind(FileKind kind, const std::string& text, Findings& findings) {
  switch (kind) {
    case FileKind::kEntry:
      CheckEntry(text, findings);
      break;
    case FileKind::kAgent:
      CheckAgent(text, findings);
      break;
    case FileKind::kConfig:
      ParseConfigDocument(text, findings);
      break;
    case FileKind::kFrontend:
      CheckFrontend(text, findings);
      break;
    case FileKind::kWorker:
      CheckWorker(text, findings);
      break;
  }
}

}  // namespace

std::optional<FileKind> DetectFileKind(const std::string& text) {
  static const std::array kinds = {
      KindFields{FileKind::kEntry,
                 {"listen_callers", "listen_admin", "listen_links",
                  "platform_url", "seed_agents", "seed_peers"}},
      KindFields{FileKind::kAgent,
                 {"listen", "backend", "window", "drain_limit_ms"}},
      KindFields{FileKind::kConfig,
                 {"workspaces", "keys", "routes", "zones_out"}},
      KindFields{FileKind::kFrontend,
                 {"listen_clients", "listen_ready", "key_revocation_ms"}},
      KindFields{FileKind::kWorker, {"runner_address", "reserved_slots"}}};
  const auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  std::optional<FileKind> best;
  std::ptrdiff_t best_count = 0;
  for (const KindFields& kind : kinds) {
    const auto count =
        std::count_if(kind.fields.begin(), kind.fields.end(),
                      [&](auto field) { return parsed.contains(field); });
    if (count > best_count) {
      best = kind.kind;
      best_count = count;
    } else if (count == best_count) {
      best.reset();
    }
  }
  return best;
}

void PrintFindings(const std::string& file,
                   const Findings& findings,
                   std::ostream& out) {
  for (const Finding& finding : findings.items()) {
    out << file << ": " << finding.path << ": " << finding.message << '\n';
  }
}

ExitCode RunCheck(const CheckCommand& command, const CommandContext& context) {
  const Result<std::string> text = ReadTextFile(command.file);
  if (!text) {
    context.err << text.error().message << '\n';
    return ExitCode::kInvalidInput;
  }
  Findings findings;
  std::optional<FileKind> kind =
      command.kind ? command.kind : DetectFileKind(text.value());
  if (kind) {
    CheckKind(*kind, text.value(), findings);
  } else if (!nlohmann::json::accept(text.value())) {
    findings.Add("", "not valid JSON");
  } else {
    findings.Add("", "cannot detect the kind of the file; pass --kind");
  }
  if (!findings.empty()) {
    PrintFindings(command.file, findings, context.err);
    return ExitCode::kInvalidInput;
  }
  context.out << command.file << ": no findings\n";
  return ExitCode::kOk;
}

}  // namespace carawayrelay
