#pragma once

#include <functional>
#include <string>
#include <vector>

#include "process/store/blocking_store_client.h"

namespace carawayrelay {

// The operations of the store that batch jobs use. Tests replace them by a
// model of the store that loses responses.
struct StoreAccess {
  std::function<Result<Row>(const std::string& table, const std::string& key)>
      read_row;
  std::function<Result<std::vector<KeyedRow>>(const std::string& table,
                                              const std::string& prefix,
                                              const std::string& after,
                                              size_t limit)>
      list_rows;
  std::function<Result<std::string>(const std::string& table,
                                    const std::string& key,
                                    const std::string& value)>
      create_row;
  std::function<Result<std::string>(const std::string& table,
                                    const std::string& key,
                                    const std::string& value,
                                    const std::string& etag)>
      update_row;
  std::function<Result<void>(const std::string& table,
                             const std::string& key,
                             const std::string& etag)>
      delete_row;
  std::function<Result<void>(const std::string& name, const std::string& data)>
      write_object;
  std::function<Result<std::string>(const std::string& name)> read_object;
};

// `client` must outlive the result.
StoreAccess MakeStoreAccess(BlockingStoreClient& client);

// Returns all rows whose key starts with `prefix`. Reads them in pages.
Result<std::vector<KeyedRow>> ListAllRows(const StoreAccess& access,
                                          const std::string& table,
                                          const std::string& prefix);

}  // namespace carawayrelay
