#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace carawayrelay {

enum class ErrorCode {
  kInvalid,      // the input breaks a rule; retrying does not help
  kNotFound,     // the named thing does not exist
  kConflict,     // a compare-and-set lost against another writer
  kUnavailable,  // nothing was done; a later try may succeed
  kUnknown,      // the effect may or may not have taken place
  kClosed,       // the connection or ring is closed
  kInternal,     // a defect of this program
};

// Returns the stable lower-case name of the code, as used in logs and JSON.
inline const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kClosed:
      return "closed";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

// A value or an Error. Reading the wrong side ends the program.
template <class T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace carawayrelay
