#pragma once

#include <string>
#include <vector>

namespace carawayrelay {

// Returns the timeline of one request, job or item, built from the decision
// logs of many processes: one sentence for each log line that names `id`, and
// for nearby lines in which the same processes logged changes of their
// configuration, the store or the backend servers involved. The sentences are
// sorted by time. The result is empty when no line names `id`. Text before the
// JSON object of a line is skipped, and so are lines without one.
std::vector<std::string> BuildTimeline(
    const std::string& id,
    const std::vector<std::string>& log_lines);

}  // namespace carawayrelay
