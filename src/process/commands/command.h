#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/version.h"

namespace carawayrelay {

// These two commands run a role in the foreground until SIGTERM.
struct EntryCommand {
  std::string settings_file;
};
struct AgentCommand {
  std::string settings_file;
};

// These two commands run a serving role on the users' platform. If
// `settings_file` is empty, they read the file that the platform assigns.
struct FrontendCommand {
  std::string settings_file;
};
struct WorkerCommand {
  std::string settings_file;
};

enum class FileKind { kEntry, kAgent, kConfig, kFrontend, kWorker };

// Reports all findings in a settings or configuration file.
struct CheckCommand {
  std::string file;
  std::optional<FileKind> kind;  // detected from the content if not set
};

// Publishes a complete configuration document.
struct ApplyCommand {
  std::string file;
  // Version that the document was derived from; the current version if not set.
  std::optional<ConfigVersion> based_on;
};

struct KeyIssueCommand {
  std::string workspace;
};
struct KeyWithdrawCommand {
  std::string key_id;
};
struct RouteSetCommand {
  RouteConfig route;
};
struct RouteRemoveCommand {
  std::string name;
};
struct ZoneOutCommand {
  std::string zone;
};
struct ZoneInCommand {
  std::string zone;
};

struct JobSubmitCommand {
  std::string file;
  std::string name;
  std::string model;  // for items that specify no model
};
struct JobStatusCommand {
  std::string id;
};
struct JobCancelCommand {
  std::string id;
};
struct JobResultsCommand {
  std::string id;
};

// Prints the timeline of one request or job, built from decision log files.
struct ExplainCommand {
  std::string id;
  std::vector<std::string> files;
};

struct StatusCommand {};
struct HelpCommand {};
struct VersionCommand {};

using Command = std::variant<EntryCommand,
                             AgentCommand,
                             FrontendCommand,
                             WorkerCommand,
                             CheckCommand,
                             ApplyCommand,
                             KeyIssueCommand,
                             KeyWithdrawCommand,
                             RouteSetCommand,
                             RouteRemoveCommand,
                             ZoneOutCommand,
                             ZoneInCommand,
                             JobSubmitCommand,
                             JobStatusCommand,
                             JobCancelCommand,
                             JobResultsCommand,
                             ExplainCommand,
                             StatusCommand,
                             HelpCommand,
                             VersionCommand>;

// Addresses that commands send requests to, and streams that they print to.
struct CommandContext {
  // "http://IP:port" of the admin ports of entries.
  std::vector<std::string> admin_urls;
  // "http://IP:port" of the client port of an entry.
  std::string api_url;
  // Key of a client.
  std::string api_key;
  std::ostream& out;
  std::ostream& err;
};

}  // namespace carawayrelay
