#include "connection/link.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <utility>

#include "connection/wire_codec.h"

namespace carawayrelay {
namespace {

// Step in which a payload is read.
constexpr size_t kReadBytes = size_t{64} << 10;

std::string MakeFrame(const std::string& payload) {
  const auto size = static_cast<std::uint32_t>(payload.size());
  std::string frame;
  frame.reserve(payload.size() + 4);
  for (int shift : {24, 16, 8, 0}) {
    frame.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  frame += payload;
  return frame;
}

size_t ParseSize(const std::array<unsigned char, 4>& header) {
  size_t size = 0;
  for (unsigned char byte : header) {
    size = size << 8 | byte;
  }
  return size;
}

}  // namespace

std::shared_ptr<Link> Link::Make(asio::ip::tcp::socket socket,
                                 FrameMemory& frame_memory) {
  return std::shared_ptr<Link>(new Link(std::move(socket), frame_memory));
}

Link::Link(asio::ip::tcp::socket socket, FrameMemory& frame_memory)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      frame_memory_(frame_memory, *this),
      last_read_(BootClock::now()) {}

void Link::Start(OnMessage on_message, OnClosed on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
  asio::error_code ignored;
  // Disables Nagle's algorithm: the small writes of token streams must not wait
  // for acknowledgements.
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  ReadHeader();
  ScheduleHeartbeat();
}

void Link::Send(const Message& message) {
  if (closed_) {
    return;
  }
  const std::string payload = Encode(message);
  if (payload.size() > kMaxFrameBytes) {
    Close("message over the frame limit");
    return;
  }
  Enqueue(MakeFrame(payload));
}

void Link::ResumeReading() {
  if (closed_ || !undelivered_) {
    return;
  }
  last_read_ = BootClock::now();
  Deliver(*std::exchange(undelivered_, std::nullopt));
}

void Link::Close(const std::string& reason) {
  if (std::exchange(closed_, true)) {
    return;
  }
  asio::error_code ignored;
  timer_.cancel(ignored);
  socket_.close(ignored);
  outgoing_.clear();
  frame_memory_.Release();
  on_message_ = nullptr;
  if (auto on_closed = std::exchange(on_closed_, nullptr)) {
    on_closed(reason);
  }
}

void Link::ReadHeader() {
  asio::async_read(
      socket_, asio::buffer(header_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          self->Close("read: " + error.message());
          return;
        }
        self->last_read_ = BootClock::now();
        const size_t size = ParseSize(self->header_);
        if (size > self->max_frame_bytes_) {
          self->Close("peer sent a frame over the limit");
        } else if (size == 0) {
          self->ReadHeader();
        } else {
          self->BeginPayload(size);
        }
      });
}

void Link::BeginPayload(size_t size) {
  payload_.clear();
  if (size <= kReadBytes) {
    payload_.shrink_to_fit();  // of an earlier large frame
  } else {
    payload_.reserve(size);
  }
  ReadPayload(size);
}

void Link::ReadPayload(size_t size) {
  // A step may have ended before the link was closed and be handled afterwards.
  if (closed_) {
    return;
  }
  const size_t received = payload_.size();
  const size_t step = std::min(kReadBytes, size - received);
  if (!frame_memory_.Reserve(step)) {
    Close("no memory for a frame of " + std::to_string(size) + " bytes");
    return;
  }
  payload_.resize(received + step);
  asio::async_read(
      socket_, asio::buffer(payload_.data() + received, step),
      [self = shared_from_this(), size](const asio::error_code& error, size_t) {
        if (error) {
          self->Close("read: " + error.message());
        } else if (self->payload_.size() < size) {
          self->ReadPayload(size);
        } else {
          self->frame_memory_.Release();
          self->HandlePayload();
        }
      });
}

void Link::HandlePayload() {
  last_read_ = BootClock::now();
  Result<Message> message = Decode(payload_);
  if (!message) {
    Close(message.error().message);
    return;
  }
  Deliver(std::move(message).value());
}

void Link::Deliver(Message message) {
  if (closed_) {
    return;
  }
  if (!on_message_(message)) {
    undelivered_ = std::move(message);
    return;
  }
  if (!closed_) {
    ReadHeader();
  }
}

void Link::Enqueue(std::string frame) {
  queued_bytes_ += frame.size();
  if (queued_bytes_ > kMaxQueuedBytes) {
    Close("peer does not read");
    return;
  }
  outgoing_.push_back(std::move(frame));
  if (writing_.empty()) {
    WriteQueued();
  }
}

void Link::WriteQueued() {
  assert(writing_.empty());
  // Writes all queued frames in one call, which saves system calls under load.
  while (!outgoing_.empty()) {
    writing_ += outgoing_.front();
    outgoing_.pop_front();
  }
  if (writing_.empty()) {
    return;
  }
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const asio::error_code& error, size_t) {
        if (error) {
          self->Close("write: " + error.message());
          return;
        }
        self->queued_bytes_ -= self->writing_.size();
        self->writing_.clear();
        self->WriteQueued();
      });
}

void Link::ScheduleHeartbeat() {
  timer_.expires_after(kHeartbeatInterval);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->closed_) {
      return;
    }
    // While reading is paused because the receiver is full, the time since the
    // last read says nothing about the peer.
    const bool silent = !self->undelivered_ &&
                        BootClock::now() - self->last_read_ > kPeerTimeout;
    if (silent) {
      self->Close("peer silent for " + std::to_string(kPeerTimeout.count()) +
                  " ms");
      return;
    }
    self->Enqueue(MakeFrame(""));
    self->ScheduleHeartbeat();
  });
}

}  // namespace carawayrelay
