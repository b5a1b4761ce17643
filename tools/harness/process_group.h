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
// go to files in a temporary directory. A name can be started again after its
// process ended; output is then appended.
class ProcessGroup {
 public:
  // Fails with kUnavailable when the directory cannot be created.
  static Result<std::unique_ptr<ProcessGroup>> Make();
  // Kills what still runs. The directory stays.
  ~ProcessGroup();

  // Starts `arguments[0]`. Fails with kConflict when the name is running and
  // with kUnavailable when the program cannot be started.
  Result<void> Start(const std::string& name,
                     const std::vector<std::string>& arguments);
  // Fails with kNotFound when no process of that name is running.
  Result<void> Signal(const std::string& name, int signal);
  // Waits for the end of a process. Returns its exit status, or 128 plus the
  // number of the signal that ended it; fails with kUnavailable at the limit.
  Result<int> WaitForExit(const std::string& name,
                          std::chrono::milliseconds limit);
  // True while the process has not ended.
  bool IsRunning(const std::string& name);
  // The most memory that a running process has used; 0 when it is not running.
  std::uint64_t PeakResidentBytes(const std::string& name);
  // Names of the running processes.
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
