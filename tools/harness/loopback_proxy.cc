#include "harness/loopback_proxy.h"

#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <future>
#include <list>
#include <map>
#include <thread>
#include <utility>

#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

using asio::ip::tcp;
constexpr size_t kBufferBytes = 16384;

struct Link {
  std::uint16_t target = 0;
  LinkMode mode = PassBytes{};
};

// One proxied connection. Pending operations keep it alive.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket client, std::shared_ptr<Link> link)
      : link_(std::move(link)),
        client_(std::move(client)),
        target_(client_.get_executor()),
        to_target_{.from = client_, .to = target_},
        from_target_{.from = target_, .to = client_} {}

  void Start() {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 link_->target);
    target_.async_connect(
        endpoint, [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            self->Reset();
            return;
          }
          self->Read(self->to_target_);
          self->Read(self->from_target_);
        });
  }

  // Closes both sockets with a TCP reset.
  void Reset() {
    for (tcp::socket* socket : {&client_, &target_}) {
      asio::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  struct Direction {
    tcp::socket& from;
    tcp::socket& to;
    std::array<char, kBufferBytes> buffer{};
    bool is_discarding = false;
  };

  bool Drops(const Direction& direction) const {
    const auto* drop = std::get_if<DropBytes>(&link_->mode);
    return drop != nullptr &&
           (&direction == &to_target_ ? drop->to_target : drop->from_target);
  }

  void Read(Direction& direction) {
    direction.from.async_read_some(
        asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const asio::error_code& error,
                                                size_t size) {
          self->OnRead(direction, error, size);
        });
  }

  void OnRead(Direction& direction,
              const asio::error_code& error,
              size_t size) {
    direction.is_discarding |= Drops(direction);
    if (error) {
      // Forwards the end of the stream only if this direction lost no bytes;
      // over a dead link the peer would not notice the close.
      if (!direction.is_discarding) {
        asio::error_code ignored;
        direction.to.shutdown(tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    if (direction.is_discarding) {
      Read(direction);
      return;
    }
    const auto* delayed = std::get_if<DelayBytes>(&link_->mode);
    auto timer = std::make_shared<asio::steady_timer>(
        client_.get_executor(),
        delayed != nullptr ? delayed->delay : std::chrono::milliseconds(0));
    timer->async_wait([self = shared_from_this(), timer, &direction,
                       size](const asio::error_code&) {
      asio::async_write(
          direction.to, asio::buffer(direction.buffer.data(), size),
          [self, &direction](const asio::error_code& failed, size_t) {
            if (!failed) {
              self->Read(direction);
            }
          });
    });
  }

  std::shared_ptr<Link> link_;
  tcp::socket client_;
  tcp::socket target_;
  Direction to_target_;
  Direction from_target_;
};

struct Listener {
  tcp::acceptor acceptor;
  std::shared_ptr<Link> link;
  std::list<std::weak_ptr<Session>> sessions;
};

}  // namespace

class LoopbackProxy::Impl {
 public:
  Impl() : work_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}

  ~Impl() {
    io_.stop();
    thread_.join();
  }

  Result<void> AddLink(const std::string& name,
                       std::uint16_t port,
                       std::uint16_t target) {
    try {
      const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), port);
      auto listener = std::make_shared<Listener>(
          Listener{.acceptor = tcp::acceptor(io_, endpoint),
                   .link = std::make_shared<Link>(Link{.target = target})});
      asio::post(io_, [this, name, listener] {
        listeners_[name] = listener;
        Accept(listener);
      });
      return Success();
    } catch (const std::exception& e) {
      return Error{
          ErrorCode::kUnavailable,
          "cannot listen on port " + std::to_string(port) + ": " + e.what()};
    }
  }

  void SetMode(const std::string& name, LinkMode mode) {
    std::promise<void> done;
    asio::post(io_, [&] {
      const auto it = listeners_.find(name);
      if (it != listeners_.end()) {
        it->second->link->mode = mode;
        if (std::holds_alternative<ResetConnections>(mode)) {
          for (const auto& weak : std::exchange(it->second->sessions, {})) {
            if (const auto session = weak.lock()) {
              session->Reset();
            }
          }
        }
      }
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  static void Accept(const std::shared_ptr<Listener>& listener) {
    listener->acceptor.async_accept(
        [listener](const asio::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          auto session =
              std::make_shared<Session>(std::move(socket), listener->link);
          if (std::holds_alternative<ResetConnections>(listener->link->mode)) {
            session->Reset();
          } else {
            std::erase_if(listener->sessions,
                          [](const auto& weak) { return weak.expired(); });
            listener->sessions.push_back(session);
            session->Start();
          }
          Accept(listener);
        });
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::map<std::string, std::shared_ptr<Listener>> listeners_;
  std::thread thread_;
};

LoopbackProxy::LoopbackProxy() : impl_(std::make_unique<Impl>()) {}
LoopbackProxy::~LoopbackProxy() = default;

Result<void> LoopbackProxy::AddLink(const std::string& name,
                                    std::uint16_t port,
                                    std::uint16_t target) {
  return impl_->AddLink(name, port, target);
}

void LoopbackProxy::SetMode(const std::string& name, LinkMode mode) {
  impl_->SetMode(name, mode);
}

}  // namespace carawayrelay::tools
