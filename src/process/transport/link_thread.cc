#include "process/transport/link_thread.h"

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <list>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include "carawayrelay/request.h"
#include "connection/link.h"
#include "process/telemetry/log.h"
#include "process/transport/endpoint.h"
#include "process/transport/memory_limits.h"
#include "process/transport/ring.h"
#include "process/transport/socket_buffers.h"

namespace carawayrelay {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kMinRedialDelay{50};
constexpr milliseconds kMaxRedialDelay{1000};
constexpr milliseconds kDialTimeout{1000};
// Interval between attempts to deliver LinkDown. Other events wait in their
// paused connection, but a closed connection cannot be paused.
constexpr milliseconds kRedeliverDelay{5};
// Accepting fails, for example, when the process has no descriptor left.
constexpr milliseconds kAcceptRetryInterval{100};
// Accepted connections whose peer has not yet sent Hello.
constexpr size_t kMaxUnknownPeers = 64;
// Bytes that a connection may have in the receive buffer of its socket.
constexpr size_t kLinkReceiveBytes = size_t{256} << 10;

struct SendCommand {
  ConnectionId connection;
  Message message;
};
struct CloseCommand {
  ConnectionId connection;
};
struct TargetsCommand {
  std::vector<DialTarget> targets;
};
struct VersionCommand {
  ConfigVersion version;
};
using Command =
    std::variant<SendCommand, CloseCommand, TargetsCommand, VersionCommand>;

}  // namespace

class LinkThread::Impl {
 public:
  Impl(Options options, Deliver deliver)
      : frame_memory_(options.max_frame_bytes),
        hello_(std::move(options.hello)),
        deliver_(std::move(deliver)),
        commands_(options.command_capacity),
        max_connections_(
            MaxConnections({.max_connections = options.max_connections})),
        acceptor_(io_),
        accept_timer_(io_),
        redeliver_timer_(io_) {
    commands_.SetWake([this] { asio::post(io_, [this] { RunCommands(); }); });
  }

  Result<void> Listen(const std::string& address) {
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseEndpoint(address));
    asio::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
      LimitReceiveBuffer(acceptor_, kLinkReceiveBytes);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Error{ErrorCode::kUnavailable,
                   "cannot listen on " + address + ": " + error.message()};
    }
    Accept();
    return Success();
  }

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }

  void Push(Command command) { commands_.Push(std::move(command)); }
  bool TryPush(Command command) { return commands_.TryPush(command); }

  void PostResume() {
    asio::post(io_, [this] { ResumeAll(); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    asio::post(io_, [this] { Shutdown(); });
    commands_.Close();
    thread_.join();
  }

 private:
  struct Connection {
    std::shared_ptr<Link> link;
    std::optional<DialTarget> target;
    bool is_up = false;
  };

  // Dialling state of one target. `socket` is set while a connection attempt is
  // in progress and `connection` once it succeeded; `timer` limits the attempt
  // or delays the next one. `delay` is the time until the next redial.
  struct Dial {
    milliseconds delay = kMinRedialDelay;
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<asio::steady_timer> timer;
    std::optional<ConnectionId> connection;
  };

  void RunCommands() {
    while (std::optional<Command> command = commands_.TryPop()) {
      std::visit(
          Overloaded{
              [&](SendCommand& c) { SendOnLink(c); },
              [&](CloseCommand& c) { CloseLink(c.connection); },
              [&](TargetsCommand& c) { UpdateDialTargets(c.targets); },
              [&](VersionCommand& c) { hello_.config_version = c.version; },
          },
          *command);
    }
  }

  void SendOnLink(SendCommand& command) {
    const auto it = connections_.find(command.connection);
    if (it != connections_.end()) {
      const std::shared_ptr<Link> link = it->second.link;
      link->Send(command.message);
    }
  }

  void CloseLink(ConnectionId id) {
    const auto it = connections_.find(id);
    if (it != connections_.end()) {
      const std::shared_ptr<Link> link = it->second.link;
      link->Close("closed by this process");
    }
  }

  void UpdateDialTargets(const std::vector<DialTarget>& targets) {
    const std::set<DialTarget> requested(targets.begin(), targets.end());
    std::vector<DialTarget> removed;
    for (const auto& [target, dial] : dials_) {
      if (!requested.contains(target)) {
        removed.push_back(target);
      }
    }
    for (const DialTarget& target : removed) {
      const Dial dial = dials_.extract(target).mapped();
      CancelDial(dial);
      if (dial.connection) {
        CloseLink(*dial.connection);
      }
    }
    for (const DialTarget& target : requested) {
      if (dials_.try_emplace(target).second) {
        StartDial(target);
      }
    }
  }

  static void CancelDial(const Dial& dial) {
    asio::error_code ignored;
    if (dial.timer) {
      dial.timer->cancel(ignored);
    }
    if (dial.socket) {
      dial.socket->close(ignored);
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [this](const asio::error_code& error, tcp::socket socket) {
          if (error == asio::error::operation_aborted || stopping_) {
            return;
          }
          if (error) {
            RetryAccept(error);
            return;
          }
          AddAccepted(std::move(socket));
          Accept();
        });
  }

  void RetryAccept(const asio::error_code& error) {
    LogWarning(LogEvent::kLinkNotAccepted,
               "a connection of another process was not accepted: {}; next "
               "attempt after {} ms",
               error.message(), kAcceptRetryInterval.count());
    CloseUnknownPeer();
    accept_timer_.expires_after(kAcceptRetryInterval);
    accept_timer_.async_wait([this](const asio::error_code& cancelled) {
      if (!cancelled && !stopping_) {
        Accept();
      }
    });
  }

  // Peers that have sent Hello keep their connections.
  void AddAccepted(tcp::socket socket) {
    if (unknown_peers_.size() >= kMaxUnknownPeers ||
        connections_.size() >= max_connections_) {
      CloseUnknownPeer();
    }
    if (connections_.size() < max_connections_) {
      unknown_peers_.push_back(AddConnection(std::move(socket), std::nullopt));
    }
  }

  // Closes the connection that was accepted first of those without Hello.
  void CloseUnknownPeer() {
    if (!unknown_peers_.empty()) {
      const ConnectionId oldest = unknown_peers_.front();
      CloseLink(oldest);
    }
  }

  void StartDial(const DialTarget& target) {
    const Result<tcp::endpoint> endpoint = ParseEndpoint(target.address);
    if (!endpoint) {
      return;
    }
    Dial& dial = dials_.at(target);
    dial.socket = std::make_shared<tcp::socket>(io_);
    dial.timer = std::make_shared<asio::steady_timer>(io_, kDialTimeout);
    dial.timer->async_wait([socket = dial.socket](asio::error_code error) {
      if (!error) {
        asio::error_code ignored;
        socket->close(ignored);
      }
    });
    dial.socket->async_connect(
        endpoint.value(),
        [this, target, socket = dial.socket](const asio::error_code& error) {
          const auto it = dials_.find(target);
          if (it == dials_.end() || it->second.socket != socket || stopping_) {
            return;
          }
          it->second.timer->cancel();
          it->second.socket.reset();
          if (error || !socket->is_open()) {
            ScheduleRedial(target);
            return;
          }
          it->second.connection = AddConnection(std::move(*socket), target);
        });
  }

  void ScheduleRedial(const DialTarget& target) {
    const auto it = dials_.find(target);
    if (it == dials_.end() || stopping_) {
      return;
    }
    Dial& dial = it->second;
    dial.connection.reset();
    dial.timer = std::make_shared<asio::steady_timer>(io_, dial.delay);
    dial.delay = std::min(dial.delay * 2, kMaxRedialDelay);
    dial.timer->async_wait(
        [this, target, timer = dial.timer](const asio::error_code& error) {
          const auto found = dials_.find(target);
          if (!error && found != dials_.end() && found->second.timer == timer) {
            StartDial(target);
          }
        });
  }

  ConnectionId AddConnection(tcp::socket socket,
                             std::optional<DialTarget> target) {
    const ConnectionId id{next_connection_++};
    std::shared_ptr<Link> link = Link::Make(std::move(socket), frame_memory_);
    Hello hello = hello_;
    if (target) {
      hello.link_class = target->link_class;
    }
    connections_[id] = {.link = link, .target = target, .is_up = false};
    link->Start(
        [this, id](Message& message) { return OnMessage(id, message); },
        [this, id](const std::string& reason) { OnClosed(id, reason); });
    // On an accepted connection, Hello is sent after the peer's Hello, which
    // gives the link class.
    if (target) {
      link->Send(hello);
    }
    return id;
  }

  bool OnMessage(ConnectionId id, Message& message) {
    Connection& connection = connections_.at(id);
    if (!connection.is_up) {
      return OnFirstMessage(id, connection, message);
    }
    LinkEvent event =
        LinkMessage{.connection = id, .message = std::move(message)};
    if (deliver_(event)) {
      return true;
    }
    message = std::move(std::get<LinkMessage>(event).message);
    return false;
  }

  bool OnFirstMessage(ConnectionId id,
                      Connection& connection,
                      Message& message) {
    const auto* hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
      const std::shared_ptr<Link> link = connection.link;
      link->Close("expected Hello as the first message");
      return true;
    }
    LinkEvent event =
        LinkUp{.connection = id,
               .dialled_address = connection.target ? connection.target->address
                                                    : std::string(),
               .peer = *hello};
    if (!deliver_(event)) {
      return false;
    }
    connection.is_up = true;
    connection.link->AllowLargeFrames();
    unknown_peers_.remove(id);
    LogInfo(LogEvent::kLinkUp, "connected to {} in zone {}", hello->node,
            hello->zone);
    if (connection.target) {
      const auto dial = dials_.find(*connection.target);
      if (dial != dials_.end()) {
        dial->second.delay = kMinRedialDelay;
      }
    } else {
      Hello response = hello_;
      response.link_class = hello->link_class;
      connection.link->Send(response);
    }
    return true;
  }

  void OnClosed(ConnectionId id, const std::string& reason) {
    auto node = connections_.extract(id);
    if (node.empty()) {
      return;
    }
    unknown_peers_.remove(id);
    if (node.mapped().is_up) {
      LogWarning(LogEvent::kLinkDown,
                 "connection {} to another process closed: {}", ToInt(id),
                 reason);
      undelivered_.push_back(LinkDown{.connection = id, .reason = reason});
      Redeliver();
    }
    if (node.mapped().target) {
      ScheduleRedial(*node.mapped().target);
    }
  }

  // Delivers the pending LinkDown events, and schedules another attempt when
  // the receiver has no capacity.
  void Redeliver() {
    // A receiver that was stopped earlier accepts no more events, and further
    // attempts would keep Stop() from returning.
    if (stopping_) {
      undelivered_.clear();
    }
    while (!undelivered_.empty()) {
      if (!deliver_(undelivered_.front())) {
        redeliver_timer_.expires_after(kRedeliverDelay);
        redeliver_timer_.async_wait([this](const asio::error_code& error) {
          if (!error) {
            Redeliver();
          }
        });
        return;
      }
      undelivered_.pop_front();
    }
  }

  void ResumeAll() {
    std::vector<std::shared_ptr<Link>> links;
    links.reserve(connections_.size());
    for (const auto& [id, connection] : connections_) {
      links.push_back(connection.link);
    }
    for (const std::shared_ptr<Link>& link : links) {
      link->ResumeReading();
    }
  }

  void Shutdown() {
    RunCommands();
    stopping_ = true;
    asio::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel(ignored);
    redeliver_timer_.cancel(ignored);
    for (const auto& [target, dial] : dials_) {
      CancelDial(dial);
    }
    dials_.clear();
    std::vector<std::shared_ptr<Link>> links;
    for (const auto& [id, connection] : connections_) {
      links.push_back(connection.link);
    }
    for (const std::shared_ptr<Link>& link : links) {
      link->Close("process stops");
    }
    work_.reset();
  }

  // Outlives the links, which handlers of `io_` own.
  FrameMemory frame_memory_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ =
      asio::make_work_guard(io_);
  Hello hello_;
  Deliver deliver_;
  Ring<Command> commands_;
  const size_t max_connections_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer redeliver_timer_;
  std::map<ConnectionId, Connection> connections_;
  std::list<ConnectionId> unknown_peers_;  // by the time of their acceptance
  std::map<DialTarget, Dial> dials_;
  std::deque<LinkEvent> undelivered_;
  std::uint64_t next_connection_ = 1;
  bool stopping_ = false;
  std::thread thread_;
};

Result<std::unique_ptr<LinkThread>> LinkThread::Make(Options options,
                                                     Deliver deliver) {
  const std::string listen_address = options.listen_address;
  auto impl = std::make_unique<Impl>(std::move(options), std::move(deliver));
  if (!listen_address.empty()) {
    BOOST_OUTCOME_TRY(impl->Listen(listen_address));
  }
  impl->Start();
  return std::unique_ptr<LinkThread>(new LinkThread(std::move(impl)));
}

LinkThread::LinkThread(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

LinkThread::~LinkThread() {
  Stop();
}

void LinkThread::Send(ConnectionId connection, Message message) {
  impl_->Push(SendCommand{connection, std::move(message)});
}

bool LinkThread::TrySend(ConnectionId connection, Message message) {
  return impl_->TryPush(SendCommand{connection, std::move(message)});
}

void LinkThread::CloseConnection(ConnectionId connection) {
  impl_->Push(CloseCommand{connection});
}

void LinkThread::SetDialTargets(std::vector<DialTarget> targets) {
  impl_->Push(TargetsCommand{std::move(targets)});
}

void LinkThread::SetConfigVersion(ConfigVersion version) {
  impl_->Push(VersionCommand{version});
}

void LinkThread::ResumeReading() {
  impl_->PostResume();
}

void LinkThread::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay
