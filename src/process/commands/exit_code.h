#pragma once

#include "carawayrelay/request.h"

namespace carawayrelay {

// Exit codes of the commands. docs/commands.md describes them for operators.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,
  kInvalidInput = 2,
  kConflict = 3,
  kUnavailable = 4,    // nothing was changed; a retry may succeed
  kUnknownEffect = 5,  // the change may or may not be in effect
};

inline ExitCode ToExitCode(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
    case ErrorCode::kNotFound:
      return ExitCode::kInvalidInput;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kUnavailable:
      return ExitCode::kUnavailable;
    case ErrorCode::kUnknown:
      return ExitCode::kUnknownEffect;
    case ErrorCode::kClosed:
    case ErrorCode::kInternal:
      return ExitCode::kFailed;
  }
  return ExitCode::kFailed;
}

}  // namespace carawayrelay
