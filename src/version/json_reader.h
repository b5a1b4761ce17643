#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "version/findings.h"

namespace carawayrelay {

// Reads the fields of one JSON object and adds a finding for each invalid
// field. CheckUnknownFields() adds a finding for each field that no getter has
// read. Optional fields that are missing or invalid have the value `fallback`.
class JsonReader {
 public:
  // `path` is the JSON pointer of `json` within the complete input. Adds a
  // finding when `json` is not an object; all getters then return their
  // defaults.
  JsonReader(const nlohmann::json& json, std::string path, Findings& findings);

  // Adds a finding when the field is missing or empty.
  std::string RequiredString(const std::string& name);
  // Reads an array of non-empty strings. A missing field is an empty array.
  std::vector<std::string> StringList(const std::string& name);
  std::string OptionalString(const std::string& name, std::string fallback);
  bool OptionalBool(const std::string& name, bool fallback);
  // Reads a number within [min, max]. Adds a finding when the field is missing.
  double RequiredNumber(const std::string& name, double min, double max);
  double OptionalNumber(const std::string& name,
                        double min,
                        double max,
                        double fallback);
  // Returns the index of the field's value in `choices`.
  size_t OptionalChoice(const std::string& name,
                        std::initializer_list<std::string_view> choices,
                        size_t fallback);

  // Calls `visit(element, path)` for each element of an array field. A missing
  // field is an empty array.
  template <class Visit>
  void ForEach(const std::string& name, Visit visit) {
    const nlohmann::json* array = FindArray(name);
    if (array == nullptr) {
      return;
    }
    for (size_t i = 0; i < array->size(); ++i) {
      visit((*array)[i], PathOf(name) + "/" + std::to_string(i));
    }
  }

  // Returns the field's value, or nullptr when it is missing. The field then
  // counts as read.
  const nlohmann::json* Find(const std::string& name);
  std::string PathOf(const std::string& name) const {
    return path_ + "/" + name;
  }
  void CheckUnknownFields();

 private:
  const nlohmann::json* FindArray(const std::string& name);
  double ReadNumber(const std::string& name,
                    const nlohmann::json& value,
                    double min,
                    double max,
                    double fallback);

  const nlohmann::json& json_;
  std::string path_;
  Findings& findings_;
  std::vector<std::string> requested_fields_;
};

}  // namespace carawayrelay
