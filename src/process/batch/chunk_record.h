#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/job_record.h"

namespace carawayrelay {

enum class ChunkState {
  kOpen,     // no owner; also the state of a chunk without a row
  kClaimed,  // leased by a session
  kDone,     // the result object is final
};

// Row value of a chunk. A chunk without a row is open with fence 0.
struct ChunkRecord {
  ChunkState state = ChunkState::kOpen;
  Fence fence{0};
  std::string session;        // owner while claimed, and who committed
  std::string result_object;  // set when done
  JobCounts counts;           // set when done

  bool IsOwnedBy(const std::string& owner) const {
    return state == ChunkState::kClaimed && session == owner;
  }
};

// Gives the chunk to `session` under a higher fence. The chunk must not be
// done.
ChunkRecord ClaimChunk(const ChunkRecord& chunk, const std::string& session);
// Makes an object the result of a claimed chunk.
ChunkRecord CommitChunk(const ChunkRecord& chunk,
                        const std::string& result_object,
                        const JobCounts& counts);
// Returns a claimed chunk without a result. The fence stays.
ChunkRecord ReleaseChunk(const ChunkRecord& chunk);

// Row key of a chunk; keys sort by chunk number.
std::string ChunkKey(const std::string& job, std::uint64_t chunk);
// Name of the result object of a claim.
std::string ResultObject(const std::string& job,
                         std::uint64_t chunk,
                         Fence fence);

struct ChunkId {
  std::string job;
  std::uint64_t number = 0;

  friend auto operator<=>(const ChunkId&, const ChunkId&) = default;
};

// A chunk that may be claimed, as read from its row.
struct ClaimCandidate {
  std::uint64_t chunk = 0;
  ChunkRecord record;
  std::string etag;  // empty when the chunk has no row
};

// The claim of a chunk by this entry.
struct ChunkLease {
  ChunkId id;
  std::string workspace;
  ChunkRecord record;
  std::string etag;
  std::uint64_t first_item = 0;  // counted over the whole job
};

struct ClaimedChunk {
  ChunkLease lease;
  std::vector<BatchItem> items;
};

// Result of a chunk of which every item has an outcome.
struct ChunkResult {
  std::string output_lines;
  std::string error_lines;
  JobCounts counts;
};

std::string ToJson(const ChunkRecord& record);
// Fails with kInternal when the row is damaged.
Result<ChunkRecord> ParseChunkRecord(const std::string& text);

}  // namespace carawayrelay
