#include "process/store/store_access.h"

#include <iterator>
#include <utility>

namespace carawayrelay {
namespace {

constexpr size_t kPageRows = 1000;

}  // namespace

StoreAccess MakeStoreAccess(BlockingStoreClient& client) {
  return {
      .read_row = [&client](const std::string& table, const std::string& key)
          -> Result<Row> { return client.ReadRow(table, key); },
      .list_rows = [&client](const std::string& table,
                             const std::string& prefix,
                             const std::string& after,
                             size_t limit) -> Result<std::vector<KeyedRow>> {
        return client.ListRows(table, prefix, after, limit);
      },
      .create_row = [&client](const std::string& table, const std::string& key,
                              const std::string& value) -> Result<std::string> {
        return client.CreateRow(table, key, value);
      },
      .update_row = [&client](const std::string& table, const std::string& key,
                              const std::string& value,
                              const std::string& etag) -> Result<std::string> {
        return client.UpdateRow(table, key, value, etag);
      },
      .delete_row = [&client](const std::string& table, const std::string& key,
                              const std::string& etag) -> Result<void> {
        return client.DeleteRow(table, key, etag);
      },
      .write_object = [&client](const std::string& name,
                                const std::string& data) -> Result<void> {
        return client.WriteObject(name, data);
      },
      .read_object = [&client](const std::string& name) -> Result<std::string> {
        return client.ReadObject(name);
      },
  };
}

Result<std::vector<KeyedRow>> ListAllRows(const StoreAccess& access,
                                          const std::string& table,
                                          const std::string& prefix) {
  std::vector<KeyedRow> all;
  while (true) {
    const std::string after = all.empty() ? std::string() : all.back().key;
    BOOST_OUTCOME_TRY(std::vector<KeyedRow> page,
                      access.list_rows(table, prefix, after, kPageRows));
    const bool is_last = page.size() < kPageRows;
    all.insert(all.end(), std::make_move_iterator(page.begin()),
               std::make_move_iterator(page.end()));
    if (is_last) {
      return all;
    }
  }
}

}  // namespace carawayrelay
