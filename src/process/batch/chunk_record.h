#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/job_record.h"

namespace carawayrelay {

enum class ChunkState {
  kOpen,     // without an owner; also the state of a chunk without a row
  kClaimed,  // owned by a session
  kDone,     // the result object is final
};

// Row value of a chunk. A chunk without a row is open and has fence 0.
struct ChunkRecord {
  ChunkState state = ChunkState::kOpen;
  Fence fence{0};
  std::string session;        // owner while claimed; when done, its last owner
  std::string result_object;  // set when done
  JobCounts counts;           // set when done

  bool IsOwnedBy(const std::string& owner) const {
    return state == ChunkState::kClaimed && session == owner;
  }
};

// Returns the record after a claim by `session`, with the fence incremented.
// The chunk must not be done.
ChunkRecord ClaimChunk(const ChunkRecord& chunk, const std::string& session);
// Returns the record of a claimed chunk after its commit with a result object.
ChunkRecord CommitChunk(const ChunkRecord& chunk,
                        const std::string& result_object,
                        const JobCounts& counts);
// Returns the record of a claimed chunk after its release without a result. The
// fence stays the same.
ChunkRecord ReleaseChunk(const ChunkRecord& chunk);

// Returns the row key of a chunk. Keys of a job sort by chunk number.
std::string ChunkKey(const std::string& job, std::uint64_t chunk);
// Returns the name of the result object, which differs for each claim because
// the fence is part of it.
std::string ResultObject(const std::string& job,
                         std::uint64_t chunk,
                         Fence fence);

struct ChunkId {
  std::string job;
  std::uint64_t number = 0;

  friend auto operator<=>(const ChunkId&, const ChunkId&) = default;
};

// A chunk that can be claimed, with the row that the claim must replace.
struct ClaimCandidate {
  std::uint64_t chunk = 0;
  ChunkRecord record;
  std::string etag;  // empty when the chunk has no row
};

// A chunk that a session of this entry has claimed, with the row as written.
struct ChunkLease {
  ChunkId id;
  std::string workspace;
  ChunkRecord record;
  std::string etag;
  std::uint64_t first_item = 0;  // index within the job
};

// A chunk as returned by a claim: its lease and its input.
struct ClaimedChunk {
  ChunkLease lease;
  std::vector<BatchItem> items;
};

// Result of a chunk whose items all have an outcome.
struct ChunkResult {
  std::string output_lines;
  std::string error_lines;
  JobCounts counts;
};

std::string ToJson(const ChunkRecord& record);
// Fails with kInternal when `text` is not a valid chunk row.
Result<ChunkRecord> ParseChunkRecord(const std::string& text);

}  // namespace carawayrelay
