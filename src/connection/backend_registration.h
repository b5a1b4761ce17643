#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace carawayrelay {

// What a backend server has registered about itself.
struct BackendRegistration {
  std::string id;  // of this start of the backend server
  std::string service;
  std::string address;  // "IP:port"
  std::string zone;
  int slots = 1;  // requests that run at once
  bool is_draining = false;
  // How long it stayed cold when the entry was written.
  std::chrono::milliseconds remaining_cold_time{0};
  // Of the row; only a backend server that lives gets a higher one.
  std::uint64_t version = 0;
};

// Load that a backend server reported in an answer.
struct BackendLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
};

}  // namespace carawayrelay
