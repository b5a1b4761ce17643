#include "process/batch/batch_upload.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <restinio/helpers/http_field_parsers/content-disposition.hpp>
#include <restinio/helpers/http_field_parsers/content-type.hpp>
#include <restinio/helpers/multipart_body.hpp>

namespace carawayrelay {
namespace {

namespace fields = restinio::http_field_parsers;

const std::string kDefaultFilename = "batch.jsonl";

template <class Parameters>
std::optional<std::string> FindParameter(const Parameters& parameters,
                                         const std::string& name) {
  const auto it =
      std::find_if(parameters.begin(), parameters.end(),
                   [&](const auto& entry) { return entry.first == name; });
  return it == parameters.end() ? std::nullopt : std::optional(it->second);
}

Error Invalid(const std::string& message) {
  return {ErrorCode::kInvalid, message};
}

Result<BatchUpload> ParseMultipart(const std::string& body,
                                   const std::string& boundary) {
  BatchUpload upload;
  std::string purpose;
  bool has_file = false;
  for (const auto part :
       restinio::multipart_body::split_multipart_body(body, "--" + boundary)) {
    const auto parsed = restinio::multipart_body::try_parse_part(part);
    if (!parsed) {
      return Invalid("a part of the multipart body is malformed");
    }
    const auto disposition_text =
        parsed->fields.opt_value_of(restinio::http_field::content_disposition);
    const auto disposition =
        disposition_text
            ? fields::content_disposition_value_t::try_parse(*disposition_text)
            : restinio::make_unexpected(
                  restinio::easy_parser::parse_error_t{0, {}});
    if (!disposition) {
      return Invalid(
          "a part of the multipart body has no valid "
          "Content-Disposition");
    }
    const std::optional<std::string> name =
        FindParameter(disposition->parameters, "name");
    if (name == "purpose") {
      purpose = std::string(parsed->body);
    } else if (name == "file") {
      has_file = true;
      upload.content = std::string(parsed->body);
      upload.filename = FindParameter(disposition->parameters, "filename")
                            .value_or(kDefaultFilename);
    }
  }
  if (!has_file) {
    return Invalid("the field 'file' is missing");
  }
  if (purpose != "batch") {
    return Invalid("the field 'purpose' must be 'batch'");
  }
  return upload;
}

}  // namespace

Result<BatchUpload> ParseUpload(const HttpRequest& request) {
  const auto header = request.headers.find("content-type");
  const std::string text =
      header == request.headers.end() ? std::string() : header->second;
  const auto type = fields::content_type_value_t::try_parse(text);
  if (!type || type->media_type.type != "multipart") {
    return BatchUpload{kDefaultFilename, request.body};
  }
  const std::optional<std::string> boundary =
      FindParameter(type->media_type.parameters, "boundary");
  if (!boundary || boundary->empty()) {
    return Invalid("the multipart body has no boundary");
  }
  return ParseMultipart(request.body, *boundary);
}

}  // namespace carawayrelay
