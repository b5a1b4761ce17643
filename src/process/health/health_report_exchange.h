#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "connection/health_report.h"
#include "process/health/outlier_detector.h"
#include "request/boot_clock.h"
#include "request/token_bucket.h"

namespace carawayrelay {

// Sends this frontend's evidence about backend servers to the other frontends
// and passes theirs to the detector. Sends nothing while there are no failures.
// Used on the event loop thread.
//
// Among many frontends, a report goes to a random subset of them, and each
// frontend forwards once what is new to it. All that it sends is limited by a
// byte budget.
class HealthReportExchange {
 public:
  using SendDatagram =
      std::function<void(const std::string& address, const std::string& bytes)>;

  struct Peer {
    std::string node;
    std::string address;
  };

  struct Counters {
    std::uint64_t sent = 0;  // datagrams
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;   // reports that were applied
    std::uint64_t forwarded = 0;  // reports of others in sent messages
    // Reports that were unreadable, of unknown frontends, or not new.
    std::uint64_t ignored = 0;
  };

  // `node` is the name of this frontend.
  HealthReportExchange(std::string node,
                       std::uint64_t seed,
                       OutlierDetector& detector,
                       SendDatagram send);

  void SetPeers(std::vector<Peer> peers, TimePoint now);
  // Applies a datagram for which IsHealthMessage() is true. Fails with kInvalid
  // when it cannot be decoded.
  Result<void> Handle(std::string_view bytes, TimePoint now);
  // Sends what is due. Must be called in each iteration of the event loop.
  void Tick(TimePoint now);

  const Counters& counters() const { return counters_; }

 private:
  // What was last told about one backend server.
  struct Told {
    TimePoint at{};
    TimePoint last_answer{};
    TimePoint last_failure{};
    int repeats = 0;  // without a new failure or answer
  };
  struct PendingForward {
    HealthReport report;  // without its age
    TimePoint made_at{};
  };

  bool SendsToSubset() const;
  // Returns the entries that are new or to be repeated.
  std::vector<ServerEvidence> DueEvidence(TimePoint now) const;
  // Moves as many entries and forwards as fit into one message.
  HealthMessage BuildMessage(std::vector<ServerEvidence> evidence,
                             TimePoint now);
  void NoteTold(const std::vector<ServerEvidence>& evidence, TimePoint now);
  void AddForward(const HealthReport& report,
                  std::vector<ServerEvidence> learned,
                  TimePoint now);
  void SendTo(size_t count, const std::string& bytes);

  const std::string node_;
  OutlierDetector& detector_;
  SendDatagram send_;
  std::mt19937_64 random_;
  const std::uint64_t process_;
  std::uint64_t sequence_ = 0;
  std::vector<Peer> peers_;
  std::set<std::string> peer_nodes_;
  TokenBucket budget_;  // bytes
  std::map<ServerKey, Told> told_;
  std::deque<PendingForward> forwards_;
  TimePoint next_send_{};
  TimePoint next_check_{};  // of the own evidence
  Counters counters_;
};

}  // namespace carawayrelay
