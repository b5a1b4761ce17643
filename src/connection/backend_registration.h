#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace carawayrelay {

// Data that a backend server registers about itself in the store.
struct BackendRegistration {
  std::string id;  // new for each start of the backend server
  std::string service;
  std::string address;  // "IP:port"
  std::string zone;
  std::string software_version;  // empty when the registration has none
  int slots = 1;                 // maximum number of concurrent requests
  bool is_draining = false;
  // Start of the process, as Unix time; 0 when the registration does not say.
  // An id may be used again by a later process.
  std::chrono::milliseconds started_at{0};
  // Time until the backend server is warm, as of when the registration was
  // written.
  std::chrono::milliseconds remaining_cold_time{0};
  // Version of the row in the store. Only a running backend server updates its
  // row, so of two registrations with the same address the one with the higher
  // version is current.
  std::uint64_t version = 0;
};

// Load that a backend server reported in a response.
struct BackendLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // How long work takes at this moment, relative to the usual time: 1.7 means
  // 1.7 times as long. std::nullopt if the backend server does not say.
  std::optional<double> pace;
};

}  // namespace carawayrelay
