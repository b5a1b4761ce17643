#pragma once

#include <list>

namespace carawayrelay {

class HttpConnection;

// Connections in the order of their last progress. Not thread-safe.
class ProgressOrder {
 public:
  // The place of one connection in an order, or in none.
  class Place {
   public:
    Place() = default;
    ~Place() { Leave(); }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // Makes the connection the one of latest progress in `order`, which must
    // outlive the place.
    void MoveToEnd(ProgressOrder& order, HttpConnection& connection) {
      Leave();
      order_ = &order;
      position_ =
          order.connections_.insert(order.connections_.end(), &connection);
    }
    void Leave() {
      if (order_ != nullptr) {
        order_->connections_.erase(position_);
        order_ = nullptr;
      }
    }

   private:
    ProgressOrder* order_ = nullptr;
    std::list<HttpConnection*>::iterator position_;
  };

  size_t size() const { return connections_.size(); }
  // The connection of oldest progress. The order must not be empty.
  HttpConnection& oldest() const { return *connections_.front(); }

 private:
  std::list<HttpConnection*> connections_;
};

}  // namespace carawayrelay
