#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Row value of an uploaded file. The content lies in one object for each
// segment, so that a chunk can be read without the whole file.
struct FileRecord {
  std::string id;
  std::string workspace;
  std::string filename;
  std::string content_hash;
  std::uint64_t bytes = 0;
  // Size limit of segments at the upload. Part of the object names, because
  // objects are written once and a later upload may use another limit.
  std::uint64_t segment_bytes = 0;
  std::chrono::sys_seconds created_at;
  std::vector<std::string> models;      // distinct, sorted
  std::vector<std::uint64_t> segments;  // items in each segment

  std::uint64_t ItemCount() const;
  // Name of the object with the content of a segment.
  std::string SegmentObjectName(size_t segment) const;
};

std::string ToJson(const FileRecord& record);
// Fails with kInternal when the row is damaged.
Result<FileRecord> ParseFileRecord(const std::string& text);

}  // namespace carawayrelay
