#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Bounded queue between threads, for any number of producers and one consumer.
// The consumer either waits in Pop() or, when it waits in another library
// (Asio, libcurl), sets a wake function and drains the ring with TryPop().
template <class T>
class Ring {
 public:
  // Returns the bytes of memory that count against the limit of a ring.
  using SizeOf = std::function<size_t(const T&)>;

  explicit Ring(size_t capacity) : items_(capacity) {}
  // The items together have at most `max_bytes`. A larger item fits into an
  // empty ring.
  Ring(size_t capacity, size_t max_bytes, SizeOf size_of)
      : max_bytes_(max_bytes), size_of_(std::move(size_of)), items_(capacity) {}
  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // `wake` runs on the thread of the producer after each push, and on the
  // thread that calls Close(). Must be set before the first push.
  void SetWake(std::function<void()> wake) { wake_ = std::move(wake); }

  // `on_space` runs on the thread of the consumer after the first pop that
  // follows a TryPush() into a full ring. Must be set before the first push.
  void SetSpaceCallback(std::function<void()> on_space) {
    on_space_ = std::move(on_space);
  }

  // Moves from `item` and returns true. When the ring is full or closed,
  // returns false and leaves `item` unchanged.
  bool TryPush(T& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_) {
        return false;
      }
      if (!HasSpaceFor(item)) {
        push_failed_ = true;
        return false;
      }
      Append(std::move(item));
    }
    NotifyConsumer();
    return true;
  }
  bool TryPush(T&& item) { return TryPush(item); }

  // Waits while the ring is full. Returns false when the ring is closed.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [&] { return closed_ || HasSpaceFor(item); });
      if (closed_) {
        return false;
      }
      Append(std::move(item));
    }
    NotifyConsumer();
    return true;
  }

  // Waits for an item until `deadline`. Returns nullopt at the deadline or when
  // the ring is closed and empty.
  std::optional<T> PopUntil(TimePoint deadline) {
    std::unique_lock lock(mutex_);
    const Duration wait = deadline - BootClock::now();
    not_empty_.wait_for(lock, wait, [&] { return closed_ || !items_.empty(); });
    return TakeFront(lock);
  }

  // Waits for an item. Returns nullopt when the ring is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [&] { return closed_ || !items_.empty(); });
    return TakeFront(lock);
  }

  std::optional<T> TryPop() {
    std::unique_lock lock(mutex_);
    return TakeFront(lock);
  }

  // Makes all later pushes fail. Items in the ring can still be popped.
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_full_.notify_all();
    NotifyConsumer();
  }

  bool IsClosed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  // The mutex must be locked by the callers of the next two functions.
  bool HasSpaceFor(const T& item) const {
    return !items_.full() && (!size_of_ || items_.empty() ||
                              bytes_ + size_of_(item) <= max_bytes_);
  }
  void Append(T item) {
    bytes_ += size_of_ ? size_of_(item) : 0;
    items_.push_back(std::move(item));
  }

  void NotifyConsumer() {
    not_empty_.notify_one();
    if (wake_) {
      wake_();
    }
  }

  // Pops the first item, if any, and unlocks `lock` before it runs callbacks.
  std::optional<T> TakeFront(std::unique_lock<std::mutex>& lock) {
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    bytes_ -= size_of_ ? size_of_(*item) : 0;
    const bool notify_space = std::exchange(push_failed_, false);
    lock.unlock();
    // One small item may leave no space for a large one that waits.
    not_full_.notify_all();
    if (notify_space && on_space_) {
      on_space_();
    }
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  const size_t max_bytes_ = 0;
  const SizeOf size_of_;
  // Grows and shrinks with the items. A buffer of the whole capacity would
  // become resident as the items pass through it.
  boost::circular_buffer_space_optimized<T> items_;
  size_t bytes_ = 0;  // of all items
  std::function<void()> wake_;
  std::function<void()> on_space_;
  bool closed_ = false;
  bool push_failed_ = false;
};

}  // namespace carawayrelay
