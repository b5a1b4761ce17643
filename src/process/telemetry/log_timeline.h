#pragma once

#include <string>
#include <vector>

namespace carawayrelay {

// Tells what happened to one request, job or item from the decision logs of
// many processes: the lines that name `id`, and around them what the same
// processes believed about the configuration, the store and the backend
// servers involved. In the order of time, one sentence a line; empty when no
// line names the id. Text before the JSON of a line is skipped, and so are
// lines without JSON.
std::vector<std::string> BuildTimeline(
    const std::string& id,
    const std::vector<std::string>& log_lines);

}  // namespace carawayrelay
