#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/process.h"

namespace carawayrelay {

// Feeds events to an AdmissionController and records the actions that it
// returns. Tests play the backend server: they feed its events by hand.
struct AdmissionControllerFixture {
  static constexpr ConnectionId kOnline{1};
  static constexpr ConnectionId kBatch{2};

  AdmissionController::Options options{
      .zone = "z1",
      .routes = {"m", "unconfigured"},
      .window = {.cold = 2,
                 .max = 4,
                 .slow_first_token = std::chrono::milliseconds(100)}};
  TimePoint now{std::chrono::hours(1)};
  AdmissionController controller{options, now};
  std::vector<AdmissionAction> actions;
  // Calls that were started and not ended with EndCall().
  std::set<CallId> running;
  // All calls that were started, in order.
  std::vector<CallId> started;
  // All calls whose cancellation was requested, in order.
  std::vector<CallId> cancelled;
  bool is_drained = false;

  static ConfigUpdate MakeUpdate(ConfigVersion version,
                                 std::vector<std::string> zones_out = {}) {
    ConfigDocument document;
    document.workspaces.push_back(
        {.name = "w", .rate_per_second = 1, .burst = 1});
    document.routes.push_back({.name = "m", .workspaces = {"w"}});
    document.zones_out = std::move(zones_out);
    const std::string json = ToJson(document);
    return {version, Sha256Hex(json), json};
  }

  void Feed(AdmissionEvent event) {
    actions = controller.Handle(std::move(event), now);
    for (const AdmissionAction& action : actions) {
      std::visit(Overloaded{
                     [&](const StartCall& a) {
                       running.insert(a.call.call);
                       started.push_back(a.call.call);
                     },
                     [&](const CancelCall& a) { cancelled.push_back(a.call); },
                     [&](const Drained&) { is_drained = true; },
                     [](const auto&) {},
                 },
                 action);
    }
  }
  void FeedMessage(ConnectionId connection, Message message) {
    Feed(LinkMessage{connection, std::move(message)});
  }
  void Connect(ConnectionId connection,
               LinkClass link_class,
               ConfigVersion version = kNoConfig) {
    Feed(LinkUp{
        .connection = connection,
        .peer = {
            .node = "e", .link_class = link_class, .config_version = version}});
  }
  // Opens an online and a batch connection of one entry and sends configuration
  // version 1.
  void SetUp() {
    Connect(kOnline, LinkClass::kOnline);
    Connect(kBatch, LinkClass::kBatch);
    FeedMessage(kOnline, MakeUpdate(ConfigVersion{1}));
  }
  static Submit MakeOnline(std::uint64_t attempt) {
    return {.attempt = AttemptId{attempt},
            .workspace = "w",
            .route = "m",
            .stream = true,
            .config_version = ConfigVersion{1}};
  }
  static Submit MakeBatch(std::uint64_t attempt, Fence fence = Fence{1}) {
    Submit submit = MakeOnline(attempt);
    submit.chunk = ChunkRef{"j", 1, fence};
    return submit;
  }
  void EndCall(CallId call, AdmissionEvent event) {
    running.erase(call);
    Feed(std::move(event));
  }

  // The last message of type T that was sent in response to the last event, to
  // any connection or to `to`.
  template <class T>
  std::optional<T> Sent(std::optional<ConnectionId> to = std::nullopt) const {
    std::optional<T> found;
    for (const AdmissionAction& action : actions) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send != nullptr && std::holds_alternative<T>(send->message) &&
          (!to || send->connection == *to)) {
        found = std::get<T>(send->message);
      }
    }
    return found;
  }
  bool IsRefused(RefusalCode code, RunState state) const {
    const auto refused = Sent<Refused>();
    return refused && refused->refusal.code == code &&
           refused->refusal.run_state == state;
  }
};

}  // namespace carawayrelay
