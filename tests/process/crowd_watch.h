#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "carawayrelay/request.h"
#include "harness/process_group.h"

namespace carawayrelay {

// Bytes that wait in the sockets with one of the local ports `ports`: those
// that were received and not read, and those that were written and not
// acknowledged. `table` is "tcp" or "udp".
inline size_t QueuedSocketBytes(const std::string& table,
                                const std::set<std::uint16_t>& ports) {
  constexpr int kHexadecimal = 16;
  // In this state the queues are those of connections, not of bytes.
  constexpr const char* kListening = "0A";
  std::ifstream file("/proc/net/" + table);
  std::string line;
  std::getline(file, line);  // names of the columns
  size_t bytes = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;  // "written:received"
    fields >> number >> local >> remote >> state >> queues;
    const auto port = static_cast<std::uint16_t>(
        std::stoul(local.substr(local.find(':') + 1), nullptr, kHexadecimal));
    if (state != kListening && ports.contains(port)) {
      const size_t colon = queues.find(':');
      bytes += std::stoul(queues.substr(0, colon), nullptr, kHexadecimal) +
               std::stoul(queues.substr(colon + 1), nullptr, kHexadecimal);
    }
  }
  return bytes;
}

// Calls `is_served` until it returns true. Returns false if it does not within
// a minute or the process ends first.
template <class IsServed>
bool WaitUntilServed(tools::ProcessGroup& processes,
                     const std::string& process,
                     IsServed is_served) {
  constexpr std::chrono::milliseconds kTimeout{60000};
  constexpr std::chrono::milliseconds kInterval{50};
  const TimePoint end = BootClock::now() + kTimeout;
  while (BootClock::now() < end && processes.IsRunning(process)) {
    if (is_served()) {
      return true;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return false;
}

// The most memory and descriptors that a process used while it was observed.
class CrowdWatch {
 public:
  static constexpr size_t kMegabyte = size_t{1} << 20;
  // Memory of the smallest VM: what each process is told of, and the bound.
  static constexpr size_t kMemoryMegabytes = 88;
  // Descriptors of a process besides those of the crowd.
  static constexpr size_t kOwnDescriptors = 60;

  // `ports` are those on which the process listens. `processes` must outlive
  // this.
  CrowdWatch(tools::ProcessGroup& processes,
             std::string name,
             std::set<std::uint16_t> ports)
      : processes_(processes),
        name_(std::move(name)),
        ports_(std::move(ports)) {}

  void Observe() {
    const size_t resident_bytes = processes_.ResidentBytes(name_);
    const size_t queued_bytes =
        QueuedSocketBytes("tcp", ports_) + QueuedSocketBytes("udp", ports_);
    if (resident_bytes + queued_bytes > resident_bytes_ + queued_bytes_) {
      resident_bytes_ = resident_bytes;
      queued_bytes_ = queued_bytes;
    }
    descriptors_ = std::max(descriptors_, processes_.OpenDescriptors(name_));
  }

  // Checks that the process lives and stayed within its memory and within the
  // descriptors that a crowd of `connections` needs. A connection with a
  // request that a backend server runs needs a second one.
  void Check(size_t connections) const {
    INFO("resident bytes: ", resident_bytes_,
         ", bytes in sockets: ", queued_bytes_,
         ", descriptors: ", descriptors_);
    CHECK(processes_.IsRunning(name_));
    CHECK(resident_bytes_ + queued_bytes_ < kMemoryMegabytes * kMegabyte);
    CHECK(descriptors_ < connections + kOwnDescriptors);
  }

 private:
  tools::ProcessGroup& processes_;
  const std::string name_;
  const std::set<std::uint16_t> ports_;
  // At the time when their sum was largest.
  size_t resident_bytes_ = 0;
  size_t queued_bytes_ = 0;
  size_t descriptors_ = 0;
};

}  // namespace carawayrelay
