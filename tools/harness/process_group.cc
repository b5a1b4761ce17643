#include "harness/process_group.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <string_view>
#include <utility>

// sys/pidfd.h of glibc 2.36 does not declare C linkage itself.
extern "C" {
#include <sys/pidfd.h>
}

namespace carawayrelay::tools {
namespace {

class SpawnAttributes {
 public:
  // The child gets its own process group, so that Ctrl-C in a terminal does not
  // reach it, and an empty signal mask, because it would otherwise inherit the
  // blocked signals of the harness.
  SpawnAttributes() {
    posix_spawnattr_init(&attributes_);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes_, &none);
    posix_spawnattr_setpgroup(&attributes_, 0);
    posix_spawnattr_setflags(&attributes_,
                             POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
  }
  ~SpawnAttributes() { posix_spawnattr_destroy(&attributes_); }
  SpawnAttributes(const SpawnAttributes&) = delete;
  SpawnAttributes& operator=(const SpawnAttributes&) = delete;
  const posix_spawnattr_t* get() const { return &attributes_; }

 private:
  posix_spawnattr_t attributes_{};
};

class SpawnFiles {
 public:
  SpawnFiles(const std::string& output, const std::string& error) {
    constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t kMode = 0644;
    posix_spawn_file_actions_init(&actions_);
    posix_spawn_file_actions_addopen(&actions_, STDIN_FILENO, "/dev/null",
                                     O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, output.c_str(),
                                     kFlags, kMode);
    posix_spawn_file_actions_addopen(&actions_, STDERR_FILENO, error.c_str(),
                                     kFlags, kMode);
    // Otherwise the sockets of the harness would stay open in the child.
    posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
  }
  ~SpawnFiles() { posix_spawn_file_actions_destroy(&actions_); }
  SpawnFiles(const SpawnFiles&) = delete;
  SpawnFiles& operator=(const SpawnFiles&) = delete;
  const posix_spawn_file_actions_t* get() const { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

}  // namespace

Result<std::unique_ptr<ProcessGroup>> ProcessGroup::Make() {
  std::string directory =
      (std::filesystem::temp_directory_path() / "carawayrelay-XXXXXX").string();
  if (mkdtemp(directory.data()) == nullptr) {
    return Error{ErrorCode::kUnavailable,
                 directory + ": " + std::strerror(errno)};
  }
  return std::unique_ptr<ProcessGroup>(new ProcessGroup(directory));
}

ProcessGroup::~ProcessGroup() {
  for (const auto& [name, pid] : running_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

Result<void> ProcessGroup::Start(const std::string& name,
                                 const std::vector<std::string>& arguments) {
  if (IsRunning(name)) {
    return Error{ErrorCode::kConflict, name + " is already running"};
  }
  std::vector<std::string> copies = arguments;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (std::string& copy : copies) {
    pointers.push_back(copy.data());
  }
  pointers.push_back(nullptr);
  const SpawnFiles files(OutputPath(name), ErrorPath(name));
  const SpawnAttributes attributes;
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, pointers[0], files.get(),
                                 attributes.get(), pointers.data(), environ);
  if (failed != 0) {
    return Error{ErrorCode::kUnavailable,
                 arguments[0] + ": " + std::strerror(failed)};
  }
  running_[name] = pid;
  return Success();
}

Result<void> ProcessGroup::Signal(const std::string& name, int signal) {
  if (!IsRunning(name)) {
    return Error{ErrorCode::kNotFound, name + " is not running"};
  }
  kill(running_.at(name), signal);
  return Success();
}

Result<int> ProcessGroup::WaitForExit(const std::string& name,
                                      std::chrono::milliseconds limit) {
  const auto found = running_.find(name);
  if (found == running_.end()) {
    return Error{ErrorCode::kNotFound, name + " is not running"};
  }
  const int descriptor = pidfd_open(found->second, 0);
  if (descriptor >= 0) {
    pollfd waited{descriptor, POLLIN, 0};
    poll(&waited, 1, static_cast<int>(limit.count()));
    close(descriptor);
  }
  int status = 0;
  if (waitpid(found->second, &status, WNOHANG) != found->second) {
    return Error{ErrorCode::kUnavailable, name + " is still running after " +
                                              std::to_string(limit.count()) +
                                              " ms"};
  }
  running_.erase(found);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool ProcessGroup::IsRunning(const std::string& name) {
  WaitForExit(name, std::chrono::milliseconds(0)).has_value();
  return running_.contains(name);
}

std::uint64_t ProcessGroup::PeakResidentBytes(const std::string& name) {
  constexpr std::string_view kPeak = "VmHWM:";
  constexpr std::uint64_t kKilobyte = 1024;
  if (!IsRunning(name)) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(running_.at(name)) +
                       "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeak)) {
      return std::stoull(line.substr(kPeak.size())) * kKilobyte;
    }
  }
  return 0;
}

std::uint64_t ProcessGroup::ResidentBytes(const std::string& name) {
  if (!IsRunning(name)) {
    return 0;
  }
  std::ifstream statm("/proc/" + std::to_string(running_.at(name)) + "/statm");
  std::uint64_t size_pages = 0;
  std::uint64_t resident_pages = 0;
  statm >> size_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

size_t ProcessGroup::OpenDescriptors(const std::string& name) {
  if (!IsRunning(name)) {
    return 0;
  }
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(running_.at(name)) + "/fd", error);
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

std::vector<std::string> ProcessGroup::RunningNames() const {
  std::vector<std::string> names;
  for (const auto& [name, pid] : running_) {
    names.push_back(name);
  }
  return names;
}

std::string ProcessGroup::OutputPath(const std::string& name) const {
  return directory_ + "/" + name + ".out";
}

std::string ProcessGroup::ErrorPath(const std::string& name) const {
  return directory_ + "/" + name + ".err";
}

}  // namespace carawayrelay::tools
