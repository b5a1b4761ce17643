#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "carawayrelay/process.h"

namespace carawayrelay {

// Passes events to a dispatcher and collects the actions that it returns.
struct DispatcherFixture {
  TimePoint now{std::chrono::seconds(1000)};
  ConfigDocument document;
  Dispatcher::Options options{.zone = "z1"};
  std::optional<Dispatcher> dispatcher;
  DispatchActions actions;
  std::uint64_t next_request = 1;

  DispatcherFixture() {
    document.workspaces = {
        {.name = "w", .rate_per_second = 1000, .burst = 1000},
        {.name = "slow", .rate_per_second = 1, .burst = 1}};
    for (const char* workspace : {"w", "slow"}) {
      document.keys.push_back({.id = workspace,
                               .workspace = workspace,
                               .salt = "s",
                               .hash = Sha256Hex("ssecret")});
    }
    document.routes = {
        {.name = "m"},
        {.name = "private", .workspaces = {"slow"}},
        {.name = "once", .kind = RouteKind::kService, .repeatable = false},
        {.name = "open", .kind = RouteKind::kService, .open = true}};
    dispatcher.emplace(options);
  }

  void Handle(DispatchEvent event) {
    for (DispatchAction& action : dispatcher->Handle(std::move(event), now)) {
      actions.push_back(std::move(action));
    }
  }
  void AdoptConfig(std::uint64_t version) {
    Handle(ConfigAdopted{
        ConfigSnapshot::Make(ConfigVersion{version}, ToJson(document))
            .value()});
  }
  void AdvanceTime(Duration time) {
    now += time;
    Handle(Tick{});
  }

  ClientRequest MakeCall(const std::string& route,
                         const std::string& key = "w") {
    return {.id = RequestId{next_request++},
            .bearer_token = key.empty() ? "" : "cr_" + key + "_secret",
            .kind = route == "once" || route == "open" ? CallKind::kService
                                                       : CallKind::kModel,
            .route = route,
            .method = "POST",
            .path = "/v1/chat/completions",
            .body = "{}",
            .arrived = now};
  }
  RequestId Arrive(ClientRequest call) {
    const RequestId id = call.id;
    Handle(RequestArrived{std::move(call)});
    return id;
  }

  void Connect(std::uint64_t connection,
               const std::string& zone = "z1",
               int window = 4,
               std::uint64_t version = 1) {
    Handle(LinkUp{.connection = ConnectionId{connection},
                  .peer = {.node = "agent-" + std::to_string(connection),
                           .role = Role::kAgent,
                           .zone = zone,
                           .config_version = ConfigVersion{version},
                           .routes = {"m", "private", "once", "open"}}});
    Receive(connection,
            Status{.window = window, .config_version = ConfigVersion{version}});
  }
  void Receive(std::uint64_t connection, Message message) {
    Handle(LinkMessage{.connection = ConnectionId{connection},
                       .message = std::move(message)});
  }
  void Receive(const SendMessage& submit, Message message) {
    Receive(ToInt(submit.connection), std::move(message));
  }
  void RefuseAttempt(const SendMessage& submit,
                     RefusalCode code,
                     RunState run_state) {
    Receive(submit, Refused{.attempt = AttemptOf(submit),
                            .refusal = {.code = code, .run_state = run_state}});
  }
  static AttemptId AttemptOf(const SendMessage& submit) {
    return std::get<Submit>(submit.message).attempt;
  }

  // Removes and returns the first action of this type.
  template <class Action>
  std::optional<Action> Take() {
    for (auto it = actions.begin(); it != actions.end(); ++it) {
      if (auto* found = std::get_if<Action>(&*it)) {
        Action action = std::move(*found);
        actions.erase(it);
        return action;
      }
    }
    return std::nullopt;
  }
  // Removes and returns the first sent message of this type.
  template <class Content>
  std::optional<SendMessage> TakeSent() {
    for (auto it = actions.begin(); it != actions.end(); ++it) {
      auto* sent = std::get_if<SendMessage>(&*it);
      if (sent != nullptr && std::holds_alternative<Content>(sent->message)) {
        SendMessage message = std::move(*sent);
        actions.erase(it);
        return message;
      }
    }
    return std::nullopt;
  }
};

}  // namespace carawayrelay
