#include "process/transport/socket_buffers.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace carawayrelay {
namespace {

void SetOption(int socket, int level, int option, size_t bytes) {
  const int value = static_cast<int>(bytes);
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

// The options are hints: a system that refuses one has buffers of its own size,
// and the connection works all the same.
void LimitSocketBuffers(asio::ip::tcp::acceptor& acceptor) {
  LimitReceiveBuffer(acceptor, kSocketReceiveBytes);
  SetOption(acceptor.native_handle(), SOL_SOCKET, SO_SNDBUF, kSocketSendBytes);
}

void LimitReceiveBuffer(asio::ip::tcp::acceptor& acceptor, size_t bytes) {
  SetOption(acceptor.native_handle(), SOL_SOCKET, SO_RCVBUF, bytes);
}

void SetReceiveBuffer(asio::ip::tcp::socket& socket, size_t bytes) {
  SetOption(socket.native_handle(), SOL_SOCKET, SO_RCVBUF, bytes);
  SetOption(socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, bytes);
}

}  // namespace carawayrelay
