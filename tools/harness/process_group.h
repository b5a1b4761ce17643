#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Child processes of a test, by name. Their standard output and standard error
// go to files in a temporary directory. After a process has ended, another one
// can be started under its name; its output is appended to the same files.
class ProcessGroup {
 public:
  // Fails with kUnavailable when the directory cannot be created.
  static Result<std::unique_ptr<ProcessGroup>> Make();
  // Kills the processes that are still running. Does not remove the directory.
  ~ProcessGroup();

  // Starts the program `arguments[0]`. Fails with kConflict when a process of
  // that name is running and with kUnavailable when the program cannot be
  // started.
  Result<void> Start(const std::string& name,
                     const std::vector<std::string>& arguments);
  // Fails with kNotFound when no process of that name is running.
  Result<void> Signal(const std::string& name, int signal);
  // Waits until a process ends. Returns its exit status, or 128 plus the number
  // of the signal that ended it. Fails with kUnavailable when the process is
  // still running after `limit`, and with kNotFound for an unknown name.
  Result<int> WaitForExit(const std::string& name,
                          std::chrono::milliseconds limit);
  // Also removes the process from the group if it has ended.
  bool IsRunning(const std::string& name);
  // Peak resident memory of a running process in bytes; 0 when it is not
  // running.
  std::uint64_t PeakResidentBytes(const std::string& name);
  // Resident memory of a running process in bytes; 0 when it is not running.
  std::uint64_t ResidentBytes(const std::string& name);
  // Number of open file descriptors of a running process; 0 when it is not
  // running.
  size_t OpenDescriptors(const std::string& name);
  // Names of the processes that were running when they were last checked.
  std::vector<std::string> RunningNames() const;

  const std::string& directory() const { return directory_; }
  std::string OutputPath(const std::string& name) const;
  std::string ErrorPath(const std::string& name) const;

 private:
  explicit ProcessGroup(std::string directory)
      : directory_(std::move(directory)) {}

  std::string directory_;
  std::map<std::string, pid_t> running_;
};

}  // namespace carawayrelay::tools
