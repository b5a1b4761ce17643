#include "process/dispatch/request_table.h"

#include <cassert>
#include <utility>

namespace carawayrelay {

ActiveRequest& RequestTable::Add(ActiveRequest&& request) {
  const RequestId id = request.call.id;
  if (!request.access.key_id.empty()) {
    by_key_[request.access.key_id].insert(id);
  }
  by_deadline_.emplace(request.deadline, id);
  const auto [it, is_new] = requests_.try_emplace(id, std::move(request));
  assert(is_new);
  return it->second;
}

ActiveRequest* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::Erase(RequestId id) {
  const auto it = requests_.find(id);
  assert(it != requests_.end());
  ActiveRequest& request = it->second;
  EndAttempt(request);
  const auto key = by_key_.find(request.access.key_id);
  if (key != by_key_.end()) {
    key->second.erase(id);
    if (key->second.empty()) {
      by_key_.erase(key);
    }
  }
  by_deadline_.erase({request.deadline, id});
  requests_.erase(it);
}

void RequestTable::StartAttempt(ActiveRequest& request,
                                AttemptId attempt,
                                ConnectionId backend) {
  request.phase = RequestPhase::kRunning;
  request.attempt = attempt;
  request.backend = backend;
  request.assembler = StreamAssembler();
  request.response_body.clear();
  request.tried_agents.push_back(backend);
  ++request.attempts;
  attempts_[attempt] = request.call.id;
}

void RequestTable::EndAttempt(ActiveRequest& request) {
  attempts_.erase(request.attempt);
  request.attempt = AttemptId{0};
}

ActiveRequest* RequestTable::FindAttempt(AttemptId attempt,
                                         ConnectionId backend) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) {
    return nullptr;
  }
  ActiveRequest* request = Find(it->second);
  return request != nullptr && request->backend == backend ? request : nullptr;
}

std::vector<RequestId> RequestTable::RunningOn(ConnectionId backend) const {
  std::vector<RequestId> ids;
  for (const auto& [attempt, id] : attempts_) {
    if (requests_.at(id).backend == backend) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<RequestId> RequestTable::InPhase(RequestPhase phase) const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (request.phase == phase) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<RequestId> RequestTable::WithInvalidKey(
    const ConfigSnapshot& config) const {
  std::vector<RequestId> ids;
  for (const auto& [key, requests] : by_key_) {
    for (const RequestId id : requests) {
      if (!IsKeyValid(config, requests_.at(id).access)) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

std::optional<RequestId> RequestTable::FirstExpired(TimePoint now) const {
  if (by_deadline_.empty() || by_deadline_.begin()->first > now) {
    return std::nullopt;
  }
  return by_deadline_.begin()->second;
}

std::optional<TimePoint> RequestTable::NextDeadline() const {
  if (by_deadline_.empty()) {
    return std::nullopt;
  }
  return by_deadline_.begin()->first;
}

}  // namespace carawayrelay
