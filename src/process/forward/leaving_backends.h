#pragma once

#include <chrono>
#include <map>
#include <string>

#include "connection/backend_registration.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// The backend server processes that said in an answer that they leave. Their
// registrations may be older or missing while the store is away, so a
// registration never ends this state; only a new process under the same id is
// free of it.
class LeavingBackends {
 public:
  // Records that the process with this id and start leaves. Returns whether
  // this is new. `started_at` is 0 when it is not known.
  bool Note(const std::string& id,
            std::chrono::milliseconds started_at,
            TimePoint now);
  // Whether the process of the registration said that it leaves.
  bool Contains(const BackendRegistration& registration) const;
  // Forgets processes that have ended by now, whatever they did since.
  void Tick(TimePoint now);

 private:
  struct Process {
    std::chrono::milliseconds started_at{0};
    TimePoint noted_at{};
  };

  std::map<std::string, Process> processes_;  // by id
};

}  // namespace carawayrelay
