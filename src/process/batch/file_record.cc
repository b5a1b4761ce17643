#include "process/batch/file_record.h"

#include <nlohmann/json.hpp>
#include <numeric>

namespace carawayrelay {

using nlohmann::json;

std::uint64_t FileRecord::ItemCount() const {
  return std::accumulate(segments.begin(), segments.end(), std::uint64_t{0});
}

std::string FileRecord::SegmentObjectName(size_t segment) const {
  return "files/" + id + "/" + std::to_string(segment_bytes) + "-" +
         std::to_string(segment);
}

std::string ToJson(const FileRecord& record) {
  return json{{"id", record.id},
              {"workspace", record.workspace},
              {"filename", record.filename},
              {"content_hash", record.content_hash},
              {"bytes", record.bytes},
              {"segment_bytes", record.segment_bytes},
              {"created_at", record.created_at.time_since_epoch().count()},
              {"models", record.models},
              {"segments", record.segments}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<FileRecord> ParseFileRecord(const std::string& text) {
  try {
    const json row = json::parse(text);
    FileRecord record;
    row.at("id").get_to(record.id);
    row.at("workspace").get_to(record.workspace);
    row.at("filename").get_to(record.filename);
    row.at("content_hash").get_to(record.content_hash);
    row.at("bytes").get_to(record.bytes);
    row.at("segment_bytes").get_to(record.segment_bytes);
    record.created_at = std::chrono::sys_seconds(
        std::chrono::seconds(row.at("created_at").get<std::int64_t>()));
    row.at("models").get_to(record.models);
    row.at("segments").get_to(record.segments);
    return record;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInternal, std::string("file row: ") + e.what()};
  }
}

}  // namespace carawayrelay
