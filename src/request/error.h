#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace carawayrelay {

enum class ErrorCode {
  kInvalid,      // the input is invalid; a retry fails in the same way
  kNotFound,     // the requested item does not exist
  kConflict,     // a compare-and-set failed because of another writer
  kUnavailable,  // the operation had no effect; a retry may succeed
  kUnknown,      // the operation may or may not have taken effect
  kClosed,       // the connection or ring is closed
  kInternal,     // a bug in this program
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

// A value or an Error. Accessing the one that is not set terminates the
// program.
template <class T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace carawayrelay
