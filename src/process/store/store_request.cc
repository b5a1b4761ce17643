#include "process/store/store_request.h"

namespace carawayrelay {
namespace {

size_t SizeOf(const RowKey& key) {
  return key.table.size() + key.part.size() + key.key.size();
}

}  // namespace

size_t RowsTransaction::CountBytes() const {
  size_t bytes = 0;
  for (const Expected& row : expected) {
    bytes += SizeOf(row.key);
  }
  for (const Write& write : writes) {
    bytes += SizeOf(write.key) + write.value.size();
  }
  for (const RowKey& key : removals) {
    bytes += SizeOf(key);
  }
  return bytes;
}

}  // namespace carawayrelay
