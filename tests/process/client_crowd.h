#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Clients that connect to one port of 127.0.0.1, send a part of a request and
// neither read nor close their connections.
class ClientCrowd {
 public:
  struct Options {
    std::uint16_t port = 0;
    size_t connections = 0;
    std::string head;    // sent once
    std::string repeat;  // sent again and again after `head`
    // Each connection sends at most this many bytes.
    size_t bytes_per_connection = 0;
  };

  explicit ClientCrowd(Options options) : options_(std::move(options)) {}
  ~ClientCrowd() {
    for (const pollfd& client : clients_) {
      close(client.fd);
    }
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Connects and sends until every connection has sent its bytes or was closed
  // by the server, or the server reads nothing for a time. Calls `observe`
  // again and again meanwhile, and for a time after the last byte.
  void Run(const std::function<void()>& observe) {
    Connect();
    constexpr std::chrono::milliseconds kStalled{2000};
    constexpr std::chrono::milliseconds kWait{20};
    TimePoint last_progress = BootClock::now();
    while (BootClock::now() - last_progress < kStalled) {
      poll(clients_.data(), clients_.size(), static_cast<int>(kWait.count()));
      bool has_progress = false;
      for (size_t i = 0; i < clients_.size(); ++i) {
        has_progress |= clients_[i].revents != 0 && Send(i);
      }
      if (has_progress) {
        last_progress = BootClock::now();
      }
      observe();
    }
  }

  // After Run(): calls `action` while another thread sends one byte on each
  // open connection again and again, more often than a time limit of the
  // server for a silent client.
  void RunWhileTrickling(const std::function<void()>& action) {
    constexpr std::chrono::milliseconds kInterval{1000};
    std::atomic<bool> is_done = false;
    std::thread trickle([&] {
      TimePoint next{};
      while (!is_done) {
        if (BootClock::now() >= next) {
          next = BootClock::now() + kInterval;
          SendOneByteEach();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
    action();
    is_done = true;
    trickle.join();
  }

 private:
  void SendOneByteEach() {
    for (const pollfd& client : clients_) {
      if (client.fd >= 0) {
        send(client.fd, options_.repeat.data(), 1, MSG_NOSIGNAL);
      }
    }
  }

  void Connect() {
    const sockaddr_in address{.sin_family = AF_INET,
                              .sin_port = htons(options_.port),
                              .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    for (size_t i = 0; i < options_.connections; ++i) {
      const int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(client, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address));
      clients_.push_back({.fd = client, .events = POLLOUT});
    }
    sent_.resize(clients_.size());
  }

  // Returns whether the server took bytes.
  bool Send(size_t i) {
    const size_t head = options_.head.size();
    const size_t begin =
        sent_[i] < head ? sent_[i] : (sent_[i] - head) % options_.repeat.size();
    const std::string& text = sent_[i] < head ? options_.head : options_.repeat;
    const size_t size =
        std::min(text.size() - begin, options_.bytes_per_connection - sent_[i]);
    const ssize_t count =
        send(clients_[i].fd, text.data() + begin, size, MSG_NOSIGNAL);
    sent_[i] += count > 0 ? static_cast<size_t>(count) : 0;
    const bool is_closed =
        count < 0 || (clients_[i].revents & (POLLERR | POLLHUP)) != 0;
    if (is_closed || sent_[i] == options_.bytes_per_connection) {
      // Closed by the server, or silent from now on.
      clients_[i].events = 0;
      clients_[i].fd = is_closed ? Replaced(clients_[i].fd) : clients_[i].fd;
    }
    return count > 0;
  }

  // Closes a descriptor. poll() ignores the value that is returned.
  static int Replaced(int client) {
    close(client);
    return -1;
  }

  Options options_;
  std::vector<pollfd> clients_;
  std::vector<size_t> sent_;  // bytes by connection
};

}  // namespace carawayrelay
