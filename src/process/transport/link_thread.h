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

namespace carawayrelay {

// A connection opened and both sides have sent Hello.
struct LinkUp {
  ConnectionId connection{0};
  // Remote "IP:port" for connections that this process dialled, else empty.
  std::string dialled_address;
  Hello peer;
};

struct LinkMessage {
  ConnectionId connection{0};
  Message message;
};

struct LinkDown {
  ConnectionId connection{0};
  std::string reason;
};

using LinkEvent = std::variant<LinkUp, LinkMessage, LinkDown>;

// A connection that the link thread keeps open, redialling with backoff.
struct DialTarget {
  std::string address;  // "IP:port"
  LinkClass link_class = LinkClass::kOnline;

  friend auto operator<=>(const DialTarget&, const DialTarget&) = default;
};

// The thread that owns all sockets to other processes of the system.
//
// Other threads hand it commands through a bounded ring. It hands events to
// `deliver`, which must not block: a false return means that the receiver has
// no room, and the link thread then stops reading from that connection until
// ResumeReading().
class LinkThread {
 public:
  using Deliver = std::function<bool(LinkEvent& event)>;

  struct Options {
    // "IP:port" to listen on, or empty for a process that only dials.
    std::string listen_address;
    // Hello to send; link_class is replaced for dialled connections.
    Hello hello;
    size_t command_capacity = 16384;
  };

  // Binds the listening socket and starts the thread. Fails with kInvalid for
  // a malformed address and kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<LinkThread>> Make(Options options,
                                                  Deliver deliver);
  ~LinkThread();

  // Waits for room in the command ring. A message for a connection that has
  // closed is dropped; LinkDown tells the receiver.
  void Send(ConnectionId connection, Message message);
  // Like Send(), but returns false when the command ring is full.
  bool TrySend(ConnectionId connection, Message message);
  // Closes a connection; a dialled one is dialled again.
  void CloseConnection(ConnectionId connection);
  // Replaces the set of connections to keep open. Connections to addresses
  // that are no longer in the set are closed.
  void SetDialTargets(std::vector<DialTarget> targets);
  // Sets the configuration version sent in later Hello messages.
  void SetConfigVersion(ConfigVersion version);
  // Retries delivery on connections whose reading is paused. Any thread.
  void ResumeReading();
  // Closes everything and joins the thread.
  void Stop();

 private:
  class Impl;
  explicit LinkThread(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay
