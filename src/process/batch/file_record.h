#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Row value of an uploaded file. Each segment of the content is stored as a
// separate object, so that a chunk can be read without reading the complete
// file.
struct FileRecord {
  std::string id;
  std::string workspace;
  std::string filename;
  std::string content_hash;
  std::uint64_t bytes = 0;
  // Size limit of segments when the file was uploaded. It is part of the object
  // names, because objects are written only once and a later upload of the same
  // content may split it by another limit.
  std::uint64_t segment_bytes = 0;
  std::chrono::sys_seconds created_at;
  std::vector<std::string> models;      // distinct and sorted
  std::vector<std::uint64_t> segments;  // number of items in each segment

  std::uint64_t ItemCount() const;
  // Name of the stored object that contains the segment with this index.
  std::string SegmentObjectName(size_t segment) const;
};

std::string ToJson(const FileRecord& record);
// Fails with kInternal when the row is malformed.
Result<FileRecord> ParseFileRecord(const std::string& text);

}  // namespace carawayrelay
