#include "process/batch/chunk_record.h"

#include <cassert>
#include <nlohmann/json.hpp>

namespace carawayrelay {
namespace {

using nlohmann::json;

const char* ToString(ChunkState state) {
  switch (state) {
    case ChunkState::kOpen:
      return "open";
    case ChunkState::kClaimed:
      return "claimed";
    case ChunkState::kDone:
      return "done";
  }
  return "open";
}

}  // namespace

ChunkRecord ClaimChunk(const ChunkRecord& chunk, const std::string& session) {
  assert(chunk.state != ChunkState::kDone);
  assert(!session.empty());
  return {.state = ChunkState::kClaimed,
          .fence = Fence{ToInt(chunk.fence) + 1},
          .session = session};
}

ChunkRecord CommitChunk(const ChunkRecord& chunk,
                        const std::string& result_object,
                        const JobCounts& counts) {
  assert(chunk.state == ChunkState::kClaimed);
  return {.state = ChunkState::kDone,
          .fence = chunk.fence,
          .session = chunk.session,
          .result_object = result_object,
          .counts = counts};
}

ChunkRecord ReleaseChunk(const ChunkRecord& chunk) {
  assert(chunk.state == ChunkState::kClaimed);
  return {.state = ChunkState::kOpen, .fence = chunk.fence};
}

std::string ChunkKey(const std::string& job, std::uint64_t chunk) {
  constexpr size_t kDigits = 8;
  const std::string number = std::to_string(chunk);
  assert(number.size() <= kDigits);
  return job + "/" + std::string(kDigits - number.size(), '0') + number;
}

std::string ResultObject(const std::string& job,
                         std::uint64_t chunk,
                         Fence fence) {
  return "results/" + ChunkKey(job, chunk) + "-" + std::to_string(ToInt(fence));
}

std::string ToJson(const ChunkRecord& record) {
  return json{{"state", ToString(record.state)},
              {"fence", ToInt(record.fence)},
              {"session", record.session},
              {"result_object", record.result_object},
              {"succeeded", record.counts.succeeded},
              {"failed", record.counts.failed}}
      .dump();
}

Result<ChunkRecord> ParseChunkRecord(const std::string& text) {
  try {
    const json row = json::parse(text);
    ChunkRecord record;
    const auto state = row.at("state").get<std::string>();
    record.state = state == "done"      ? ChunkState::kDone
                   : state == "claimed" ? ChunkState::kClaimed
                                        : ChunkState::kOpen;
    record.fence = Fence{row.at("fence").get<std::uint64_t>()};
    row.at("session").get_to(record.session);
    row.at("result_object").get_to(record.result_object);
    row.at("succeeded").get_to(record.counts.succeeded);
    row.at("failed").get_to(record.counts.failed);
    return record;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInternal, std::string("chunk row: ") + e.what()};
  }
}

}  // namespace carawayrelay
