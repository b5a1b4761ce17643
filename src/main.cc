#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "carawayrelay/process.h"

namespace {

std::string GetEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::string() : std::string(value);
}

int ReportUsageError(const carawayrelay::Error& error) {
  std::cerr << "carawayrelay: " << error.message
            << "; see 'carawayrelay --help'\n";
  return static_cast<int>(carawayrelay::ToExitCode(error.code));
}

}  // namespace

int main(int argc, char** argv) {
  const auto line = carawayrelay::SplitCommandLine(
      std::vector<std::string>(argv + 1, argv + argc));
  if (!line) {
    return ReportUsageError(line.error());
  }
  const auto command = carawayrelay::ParseCommand(line.value());
  if (!command) {
    return ReportUsageError(command.error());
  }
  return carawayrelay::RunCommand(
      command.value(),
      carawayrelay::MakeContext(line.value().options, GetEnvironment, std::cout,
                                std::cerr));
}
