#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/version.h"

namespace carawayrelay {

// Runs a role in the foreground until SIGTERM.
struct EntryCommand {
  std::string settings_file;
};
struct AgentCommand {
  std::string settings_file;
};

// Run a serving role on the users' platform. Without a file they read the one
// that the platform names.
struct FrontendCommand {
  std::string settings_file;
};
struct WorkerCommand {
  std::string settings_file;
};

enum class FileKind { kEntry, kAgent, kConfig, kFrontend, kWorker };

// Reports everything that is wrong with a file.
struct CheckCommand {
  std::string file;
  std::optional<FileKind> kind;  // recognised from the content when not given
};

// Publishes a whole configuration document.
struct ApplyCommand {
  std::string file;
  // The version that the document was made from; the current one when not
  // given.
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
  std::string model;  // for lines without a model of their own
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

// Tells the story of one request or job from the decision logs.
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

// Where commands send their requests and print their results.
struct CommandContext {
  std::vector<std::string> admin_urls;  // "http://IP:port" of admin ports
  std::string api_url;                  // "http://IP:port" of callers' ports
  std::string api_key;                  // key of a caller
  std::ostream& out;
  std::ostream& err;
};

}  // namespace carawayrelay
