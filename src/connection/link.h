#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "carawayrelay/request.h"
#include "connection/frame_memory.h"
#include "connection/message.h"

namespace carawayrelay {

// Framed connection between two carawayrelay processes. All calls and callbacks
// run on the thread of the socket's io_context.
//
// A frame is a 4-byte big-endian length and a payload; an empty frame is a
// heartbeat. The link closes when nothing is received for kPeerTimeout, so that
// a peer that hangs or is unreachable is detected although its socket stays
// open.
class Link : public std::enable_shared_from_this<Link> {
 public:
  static constexpr std::chrono::milliseconds kHeartbeatInterval{500};
  static constexpr std::chrono::milliseconds kPeerTimeout{2500};
  static constexpr size_t kMaxFrameBytes = size_t{32} << 20;
  // Limit of a frame from a peer that has not yet sent Hello.
  static constexpr size_t kMaxFirstFrameBytes = size_t{64} << 10;
  // Bounds the memory that is used for frames that the peer does not read.
  static constexpr size_t kMaxQueuedBytes = size_t{64} << 20;

  // Returns false when the receiver cannot accept the message. The link then
  // keeps the message and stops reading until ResumeReading().
  using OnMessage = std::function<bool(Message& message)>;
  // Called once, with the reason for the close.
  using OnClosed = std::function<void(const std::string& reason)>;

  // `frame_memory` must outlive the link.
  static std::shared_ptr<Link> Make(asio::ip::tcp::socket socket,
                                    FrameMemory& frame_memory);

  void Start(OnMessage on_message, OnClosed on_closed);
  // Queues a message. Closes the link when more than kMaxQueuedBytes are queued
  // or the message is larger than kMaxFrameBytes.
  void Send(const Message& message);
  void ResumeReading();
  // Accepts frames of up to kMaxFrameBytes from now on.
  void AllowLargeFrames() { max_frame_bytes_ = kMaxFrameBytes; }
  void Close(const std::string& reason);

 private:
  Link(asio::ip::tcp::socket socket, FrameMemory& frame_memory);

  void ReadHeader();
  // Reads the payload in steps, so that it takes memory only as it arrives.
  void BeginPayload(size_t size);
  void ReadPayload(size_t size);
  void HandlePayload();
  void Deliver(Message message);
  void Enqueue(std::string frame);
  void WriteQueued();
  void ScheduleHeartbeat();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::array<unsigned char, 4> header_{};
  std::string payload_;
  FrameMemory::Part frame_memory_;
  size_t max_frame_bytes_ = kMaxFirstFrameBytes;
  std::optional<Message> undelivered_;
  std::deque<std::string> outgoing_;
  std::string writing_;
  size_t queued_bytes_ = 0;
  TimePoint last_read_;
  bool closed_ = false;
};

}  // namespace carawayrelay
