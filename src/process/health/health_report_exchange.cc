#include "process/health/health_report_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinSendInterval{200};
// How often the evidence is checked for something to send.
constexpr milliseconds kCheckInterval{20};
// An entry without a new failure is told again after this long: because of new
// answers, or because a datagram may have been lost.
constexpr milliseconds kRepeatInterval{1000};
constexpr int kMaxRepeats = 2;
// With more other frontends, each message goes to a random subset.
constexpr size_t kMaxPeersForAll = 40;
// Headers of IP and UDP.
constexpr size_t kDatagramOverhead = 28;
// Bytes per second and burst that a frontend sends. Up to 41 frontends: a
// report on one failing backend server to all of them five times a second. With
// more of them: the part of 3 KB/s that rate messages leave; the burst is one
// full datagram.
constexpr double kBudget = 24000;
constexpr double kSubsetBudget = 900;
constexpr double kSubsetBurst = kMaxHealthMessageBytes + kDatagramOverhead;
// Messages to a subset are short, so that the budget reaches several frontends.
constexpr size_t kMaxSubsetMessageBytes = 300;
constexpr size_t kMaxForwards = 16;
// Older news has reached the others in another way.
constexpr milliseconds kMaxForwardAge{2000};

}  // namespace

HealthReportExchange::HealthReportExchange(std::string node,
                                           std::uint64_t seed,
                                           OutlierDetector& detector,
                                           SendDatagram send)
    : node_(std::move(node)),
      detector_(detector),
      send_(std::move(send)),
      random_(seed),
      process_(random_()),
      budget_(kBudget, kBudget, TimePoint{}) {}

bool HealthReportExchange::SendsToSubset() const {
  return peers_.size() > kMaxPeersForAll;
}

void HealthReportExchange::SetPeers(std::vector<Peer> peers, TimePoint now) {
  peers_ = std::move(peers);
  peer_nodes_.clear();
  for (const Peer& peer : peers_) {
    peer_nodes_.insert(peer.node);
  }
  budget_.SetRate(SendsToSubset() ? kSubsetBudget : kBudget,
                  SendsToSubset() ? kSubsetBurst : kBudget, now);
  detector_.SetPeers(peers_.size());
}

Result<void> HealthReportExchange::Handle(std::string_view bytes,
                                          TimePoint now) {
  Result<HealthMessage> message = DecodeHealthMessage(bytes);
  if (!message) {
    ++counters_.ignored;
    return message.error();
  }
  for (const HealthReport& report : message.value().reports) {
    if (report.reporter == node_ || !peer_nodes_.contains(report.reporter)) {
      ++counters_.ignored;
      continue;
    }
    std::optional<std::vector<ServerEvidence>> learned =
        detector_.Apply(report, now);
    if (!learned) {
      ++counters_.ignored;
      continue;
    }
    ++counters_.received;
    if (!learned->empty() && SendsToSubset()) {
      AddForward(report, *std::move(learned), now);
    }
  }
  return Success();
}

void HealthReportExchange::AddForward(const HealthReport& report,
                                      std::vector<ServerEvidence> learned,
                                      TimePoint now) {
  PendingForward forward{.report = {.reporter = report.reporter,
                                    .process = report.process,
                                    .sequence = report.sequence,
                                    .servers = std::move(learned)},
                         .made_at = now - report.age};
  if (kHealthMessageHeadBytes + MaxEncodedBytes(forward.report) >
      kMaxSubsetMessageBytes) {
    const size_t other_bytes =
        kHealthMessageHeadBytes +
        MaxEncodedBytes({.reporter = forward.report.reporter});
    const size_t count =
        (kMaxSubsetMessageBytes - other_bytes) / kMaxEvidenceBytes;
    forward.report.servers.resize(count);
  }
  forwards_.push_back(std::move(forward));
  if (forwards_.size() > kMaxForwards) {
    forwards_.pop_front();
  }
}

std::vector<ServerEvidence> HealthReportExchange::DueEvidence(
    TimePoint now) const {
  std::vector<ServerEvidence> due = detector_.EvidenceToReport(now);
  std::erase_if(due, [&](const ServerEvidence& evidence) {
    const auto it = told_.find(evidence.server);
    if (it == told_.end()) {
      return false;
    }
    const Told& told = it->second;
    const bool is_new_failure =
        evidence.failures > 0 &&
        now - evidence.failure_age > told.last_failure + milliseconds(1);
    const bool is_new_answer =
        evidence.answers > 0 &&
        now - evidence.answer_age > told.last_answer + milliseconds(1);
    return !is_new_failure && (now - told.at < kRepeatInterval ||
                               (!is_new_answer && told.repeats >= kMaxRepeats));
  });
  return due;
}

void HealthReportExchange::NoteTold(const std::vector<ServerEvidence>& evidence,
                                    TimePoint now) {
  std::erase_if(told_, [&](const auto& item) {
    return now - item.second.at > kHealthEvidenceWindow;
  });
  for (const ServerEvidence& e : evidence) {
    Told& told = told_[e.server];
    told.at = now;
    const TimePoint answer = e.answers > 0 ? now - e.answer_age : TimePoint{};
    const TimePoint failure =
        e.failures > 0 ? now - e.failure_age : TimePoint{};
    const bool is_new = answer > told.last_answer + milliseconds(1) ||
                        failure > told.last_failure + milliseconds(1);
    told.repeats = is_new ? 0 : told.repeats + 1;
    told.last_answer = std::max(told.last_answer, answer);
    told.last_failure = std::max(told.last_failure, failure);
  }
}

HealthMessage HealthReportExchange::BuildMessage(
    std::vector<ServerEvidence> evidence,
    TimePoint now) {
  const size_t limit =
      SendsToSubset() ? kMaxSubsetMessageBytes : kMaxHealthMessageBytes;
  HealthMessage message;
  size_t bytes = kHealthMessageHeadBytes;
  if (!evidence.empty()) {
    HealthReport own{
        .reporter = node_, .process = process_, .sequence = ++sequence_};
    const size_t head_bytes = bytes + MaxEncodedBytes(own);
    const size_t room =
        head_bytes < limit ? (limit - head_bytes) / kMaxEvidenceBytes : 0;
    evidence.resize(std::min(evidence.size(), std::max<size_t>(room, 1)));
    NoteTold(evidence, now);
    own.servers = std::move(evidence);
    bytes += MaxEncodedBytes(own);
    message.reports.push_back(std::move(own));
  }
  while (!forwards_.empty()) {
    PendingForward& forward = forwards_.front();
    if (now - forward.made_at < kMaxForwardAge) {
      const size_t added = MaxEncodedBytes(forward.report);
      if (bytes + added > limit) {
        break;
      }
      bytes += added;
      forward.report.age =
          std::chrono::duration_cast<milliseconds>(now - forward.made_at);
      message.reports.push_back(std::move(forward.report));
      ++counters_.forwarded;
    }
    forwards_.pop_front();
  }
  return message;
}

void HealthReportExchange::Tick(TimePoint now) {
  if (now < next_send_ || peers_.empty() ||
      (now < next_check_ && forwards_.empty())) {
    return;
  }
  next_check_ = now + kCheckInterval;
  std::vector<ServerEvidence> due = DueEvidence(now);
  if (due.empty() && forwards_.empty()) {
    return;
  }
  // Estimated before the message is built: what does not fit the budget stays
  // due.
  const size_t estimate =
      kDatagramOverhead +
      (SendsToSubset() ? kMaxSubsetMessageBytes
                       : std::min(kMaxHealthMessageBytes,
                                  kHealthMessageHeadBytes +
                                      MaxEncodedBytes({.reporter = node_,
                                                       .servers = due})));
  const double tokens = budget_.TokensAt(now);
  const double full_cost =
      static_cast<double>(estimate) * static_cast<double>(peers_.size());
  const bool waits_for_all = !SendsToSubset() && full_cost <= kBudget;
  if (tokens < (waits_for_all ? full_cost : static_cast<double>(estimate))) {
    return;
  }
  const HealthMessage message = BuildMessage(std::move(due), now);
  if (message.reports.empty()) {
    return;
  }
  next_send_ = now + kMinSendInterval;
  const std::string bytes = EncodeHealthMessage(message);
  const auto cost = static_cast<double>(bytes.size() + kDatagramOverhead);
  const size_t count =
      std::min(peers_.size(), static_cast<size_t>(tokens / cost));
  budget_.Spend(cost * static_cast<double>(count), now);
  SendTo(count, bytes);
}

void HealthReportExchange::SendTo(size_t count, const std::string& bytes) {
  // The first `count` of a partial shuffle are a random subset.
  for (size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<size_t> pick(i, peers_.size() - 1);
    std::swap(peers_[i], peers_[pick(random_)]);
    send_(peers_[i].address, bytes);
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
  }
}

}  // namespace carawayrelay
