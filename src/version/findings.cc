#include "version/findings.h"

namespace carawayrelay {

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : items_) {
    text += (finding.path.empty() ? "/" : finding.path) + ": " +
            finding.message + "\n";
  }
  return text;
}

}  // namespace carawayrelay
