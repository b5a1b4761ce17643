#include "process/forward/leaving_backends.h"

namespace carawayrelay {
namespace {

// Much longer than a backend server takes to leave.
constexpr std::chrono::minutes kMemory{10};

}  // namespace

bool LeavingBackends::Note(const std::string& id,
                           std::chrono::milliseconds started_at,
                           TimePoint now) {
  const auto [it, is_new] = processes_.try_emplace(id);
  const bool is_other_start = it->second.started_at != started_at;
  it->second = {.started_at = started_at, .noted_at = now};
  return is_new || is_other_start;
}

bool LeavingBackends::Contains(const BackendRegistration& registration) const {
  const auto it = processes_.find(registration.id);
  if (it == processes_.end()) {
    return false;
  }
  const std::chrono::milliseconds unknown{0};
  return it->second.started_at == registration.started_at ||
         it->second.started_at == unknown || registration.started_at == unknown;
}

void LeavingBackends::Tick(TimePoint now) {
  std::erase_if(processes_, [now](const auto& item) {
    return now - item.second.noted_at >= kMemory;
  });
}

}  // namespace carawayrelay
