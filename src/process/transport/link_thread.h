#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "connection/link.h"

namespace carawayrelay {

// A connection was opened and both sides have sent Hello.
struct LinkUp {
  ConnectionId connection{0};
  // Remote "IP:port" if this process opened the connection, otherwise empty.
  std::string dialled_address;
  Hello peer;
};

struct LinkMessage {
  ConnectionId connection{0};
  Message message;
};

// A connection for which LinkUp was delivered has closed.
struct LinkDown {
  ConnectionId connection{0};
  std::string reason;
};

using LinkEvent = std::variant<LinkUp, LinkMessage, LinkDown>;

// A peer to which the link thread keeps a connection open. It redials with
// exponential backoff.
struct DialTarget {
  std::string address;  // "IP:port"
  LinkClass link_class = LinkClass::kOnline;

  friend auto operator<=>(const DialTarget&, const DialTarget&) = default;
};

// The thread that owns all sockets to other processes of the system.
//
// Other threads send it commands through a bounded ring. It passes events to
// `deliver`, which must not block. `deliver` returns false when the receiver
// has no free capacity; the link thread then stops reading from that connection
// until ResumeReading() is called.
class LinkThread {
 public:
  using Deliver = std::function<bool(LinkEvent& event)>;

  struct Options {
    // "IP:port" to listen on, or empty for a process that accepts no
    // connections.
    std::string listen_address;
    // Hello to send. Its link_class is replaced by the one of the dial target
    // or, on accepted connections, of the peer's Hello.
    Hello hello;
    size_t command_capacity = 16384;
    // Memory of the incomplete frames of all connections.
    size_t max_frame_bytes = Link::kMaxFrameBytes;
    // Accepted connections; at most those that leave descriptors for others.
    size_t max_connections = 4096;
  };

  // Binds the listening socket and starts the thread. Fails with kInvalid when
  // the address is malformed, and with kUnavailable when it cannot be bound.
  static Result<std::unique_ptr<LinkThread>> Make(Options options,
                                                  Deliver deliver);
  ~LinkThread();

  // Waits while the command ring is full. A message for a closed connection is
  // dropped; the receiver of the events gets LinkDown for that connection.
  void Send(ConnectionId connection, Message message);
  // Like Send(), but returns false when the command ring is full.
  bool TrySend(ConnectionId connection, Message message);
  // Closes a connection. A connection to a dial target is then opened again.
  void CloseConnection(ConnectionId connection);
  // Replaces the set of dial targets. Connections to targets that are no longer
  // in the set are closed.
  void SetDialTargets(std::vector<DialTarget> targets);
  // Sets the configuration version for later Hello messages.
  void SetConfigVersion(ConfigVersion version);
  // Retries the delivery on all paused connections and resumes reading. Any
  // thread.
  void ResumeReading();
  // Executes the queued commands, closes all sockets and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit LinkThread(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
