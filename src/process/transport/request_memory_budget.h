#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace carawayrelay {

// Limits the memory of all requests of clients that a process holds, over all
// of its HTTP servers. Each request has an account. When the budget is
// exhausted, requests that are not completely received are evicted: of those
// whose last progress is oldest, the one with the largest product of its bytes
// and the progress of others since. A request that stalls or trickles goes
// before one that arrives at a steady pace, whatever their sizes. Thread-safe.
class RequestMemoryBudget
    : public std::enable_shared_from_this<RequestMemoryBudget> {
 public:
  // The memory of one request. Its destructor returns the bytes.
  class Account {
   public:
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    // Sets the number of bytes of the request. Growth by kProgressBytes counts
    // as progress. Returns false if it is the request that must be refused: the
    // budget is exhausted and no other request can be evicted for it, or it was
    // evicted.
    bool Resize(size_t bytes);
    // The request is completely received and is not evicted any more. Returns
    // false if it was evicted before.
    bool SetComplete();

   private:
    friend class RequestMemoryBudget;
    Account(std::shared_ptr<RequestMemoryBudget> budget,
            std::function<void()> evict)
        : budget_(std::move(budget)), evict_(std::move(evict)) {}

    const std::shared_ptr<RequestMemoryBudget> budget_;
    const std::function<void()> evict_;
    // The rest is guarded by the mutex of the budget.
    size_t bytes_ = 0;
    // When and at which size the request last made progress.
    std::uint64_t progress_ = 0;
    size_t progress_bytes_ = 0;
    bool is_evicted_ = false;
  };

  struct Counters {
    size_t held_bytes = 0;
    // Requests that were refused or evicted because the budget was exhausted.
    std::uint64_t refused_requests = 0;
    // Connections that were closed for a new one, because the limit on
    // connections was reached.
    std::uint64_t closed_connections = 0;
    // Requests and connections that were closed by a time limit or for being
    // malformed or too large.
    std::uint64_t rejected_requests = 0;
  };

  static std::shared_ptr<RequestMemoryBudget> Make(size_t max_bytes) {
    return std::shared_ptr<RequestMemoryBudget>(
        new RequestMemoryBudget(max_bytes));
  }

  // Opens the account of a request. `evict` is called at most once, on any
  // thread that calls Resize() of another account, also after this account has
  // been closed. The bytes count as returned before it is called.
  std::unique_ptr<Account> Open(std::function<void()> evict);

  // Sets the limit for the charges from now on.
  void SetMaxBytes(size_t max_bytes);

  Counters counters() const;
  void CountClosedConnection();
  void CountRejectedRequest();

 private:
  // Fewer bytes than a client sends at once that sends at a steady pace.
  static constexpr size_t kProgressBytes = 4096;
  // Requests that are compared to choose the one to evict.
  static constexpr size_t kCandidates = 64;

  explicit RequestMemoryBudget(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Sets the bytes of an account as Account::Resize() does. Appends what must
  // be called, without the lock, for the requests that were evicted for it.
  bool Resize(Account& account,
              size_t bytes,
              std::vector<std::function<void()>>& evictions);
  // The mutex must be locked by the callers of these functions.
  void MarkProgress(Account& account, size_t bytes);
  // Returns nullptr if all requests are complete.
  Account* ChooseVictim() const;
  // Returns what must be called, without the lock, to evict the request.
  std::function<void()> TakeBack(Account& account);

  mutable std::mutex mutex_;
  size_t max_bytes_;
  Counters counters_;
  // Counts the progress of all requests; serves as their clock.
  std::uint64_t progress_ = 0;
  // Requests that are not completely received, by their last progress.
  std::set<std::pair<std::uint64_t, Account*>> unfinished_;
};

}  // namespace carawayrelay
