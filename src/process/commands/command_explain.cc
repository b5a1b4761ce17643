#include "process/commands/command_explain.h"

#include <sstream>
#include <string>
#include <vector>

#include "process/commands/text_file.h"
#include "process/telemetry/log_timeline.h"

namespace carawayrelay {

ExitCode RunExplain(const ExplainCommand& command,
                    const CommandContext& context) {
  std::vector<std::string> lines;
  for (const std::string& file : command.files) {
    const Result<std::string> text = ReadTextFile(file);
    if (!text) {
      context.err << text.error().message << '\n';
      return ExitCode::kInvalidInput;
    }
    std::istringstream stream(text.value());
    for (std::string line; std::getline(stream, line);) {
      lines.push_back(std::move(line));
    }
  }
  const std::vector<std::string> story = BuildTimeline(command.id, lines);
  if (story.empty()) {
    context.err << "no line of the files contains the id '" << command.id
                << "'\n";
    return ExitCode::kInvalidInput;
  }
  for (const std::string& line : story) {
    context.out << line << '\n';
  }
  return ExitCode::kOk;
}

}  // namespace carawayrelay
