#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>

namespace carawayrelay {

// Bytes that a connection may have in the receive buffer of its socket while no
// large body is received, and in its send buffer.
inline constexpr size_t kSocketReceiveBytes = size_t{16} << 10;
inline constexpr size_t kSocketSendBytes = size_t{16} << 10;
// Receive buffer for a large body. Without window scaling, which a small buffer
// of the listening socket rules out, TCP has no larger window.
inline constexpr size_t kLargeSocketReceiveBytes = size_t{64} << 10;

// Limits the buffers of the connections that the socket accepts. Must be called
// before listen(), because the first window is announced before accept().
void LimitSocketBuffers(asio::ip::tcp::acceptor& acceptor);

// Limits only the receive buffers, in the same way.
void LimitReceiveBuffer(asio::ip::tcp::acceptor& acceptor, size_t bytes);

// Sets the receive buffer of an accepted connection. Bytes that wait already
// stay.
void SetReceiveBuffer(asio::ip::tcp::socket& socket, size_t bytes);

}  // namespace carawayrelay
