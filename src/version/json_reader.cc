#include "version/json_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace carawayrelay {
namespace {

std::string RangeText(double min, double max) {
  std::ostringstream text;
  text << "must be a number from " << min << " to " << max;
  return text.str();
}

}  // namespace

JsonReader::JsonReader(const nlohmann::json& json,
                       std::string path,
                       Findings& findings)
    : json_(json), path_(std::move(path)), findings_(findings) {
  if (!json_.is_object()) {
    findings_.Add(path_, "must be an object");
  }
}

const nlohmann::json* JsonReader::Find(const std::string& name) {
  requested_fields_.push_back(name);
  if (!json_.is_object()) {
    return nullptr;
  }
  const auto it = json_.find(name);
  return it == json_.end() ? nullptr : &*it;
}

std::string JsonReader::RequiredString(const std::string& name) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    if (json_.is_object()) {
      findings_.Add(PathOf(name), "is required");
    }
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    findings_.Add(PathOf(name), "must be a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

std::string JsonReader::OptionalString(const std::string& name,
                                       std::string fallback) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_string()) {
    findings_.Add(PathOf(name), "must be a string");
    return fallback;
  }
  return value->get<std::string>();
}

std::vector<std::string> JsonReader::StringList(const std::string& name) {
  std::vector<std::string> list;
  ForEach(name, [&](const nlohmann::json& item, const std::string& path) {
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      findings_.Add(path, "must be a non-empty string");
      return;
    }
    list.push_back(item.get<std::string>());
  });
  return list;
}

bool JsonReader::OptionalBool(const std::string& name, bool fallback) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    findings_.Add(PathOf(name), "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

double JsonReader::RequiredNumber(const std::string& name,
                                  double min,
                                  double max) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    if (json_.is_object()) {
      findings_.Add(PathOf(name), "is required");
    }
    return min;
  }
  return ReadNumber(name, *value, min, max, min);
}

double JsonReader::OptionalNumber(const std::string& name,
                                  double min,
                                  double max,
                                  double fallback) {
  const nlohmann::json* value = Find(name);
  return value == nullptr ? fallback
                          : ReadNumber(name, *value, min, max, fallback);
}

double JsonReader::ReadNumber(const std::string& name,
                              const nlohmann::json& value,
                              double min,
                              double max,
                              double fallback) {
  if (!value.is_number() || value.get<double>() < min ||
      value.get<double>() > max) {
    findings_.Add(PathOf(name), RangeText(min, max));
    return fallback;
  }
  return value.get<double>();
}

size_t JsonReader::OptionalChoice(
    const std::string& name,
    std::initializer_list<std::string_view> choices,
    size_t fallback) {
  const nlohmann::json* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (value->is_string()) {
    const auto it = std::find(choices.begin(), choices.end(),
                              value->get_ref<const std::string&>());
    if (it != choices.end()) {
      return static_cast<size_t>(it - choices.begin());
    }
  }
  std::string text = "must be one of";
  for (std::string_view choice : choices) {
    text += " \"" + std::string(choice) + "\"";
  }
  findings_.Add(PathOf(name), text);
  return fallback;
}

const nlohmann::json* JsonReader::FindArray(const std::string& name) {
  const nlohmann::json* value = Find(name);
  if (value != nullptr && !value->is_array()) {
    findings_.Add(PathOf(name), "must be an array");
    return nullptr;
  }
  return value;
}

void JsonReader::CheckUnknownFields() {
  if (!json_.is_object()) {
    return;
  }
  for (const auto& [name, value] : json_.items()) {
    if (std::find(requested_fields_.begin(), requested_fields_.end(), name) ==
        requested_fields_.end()) {
      findings_.Add(PathOf(name), "unknown field");
    }
  }
}

}  // namespace carawayrelay
