#pragma once

#include <chrono>
#include <random>

#include "request/boot_clock.h"

namespace carawayrelay {

// Limits the concurrent requests of this process to one backend server that has
// just started, failed or come back. The limit begins low, grows with good
// responses and falls with bad ones. It ends once it has grown to what this
// process may need, not after a time: how long a start takes is not known. Must
// be used on the event loop thread only.
class SlowStart {
 public:
  // Begins with a part of `slots` that is divided among `members` processes. A
  // slow start that is active begins again.
  void Begin(int slots, size_t members);
  bool IsActive() const { return is_active_; }
  double limit() const { return limit_; }

  // Whether one more request may be sent beside `own_calls` running ones. A
  // limit below 1 is the chance that one is allowed in a short period, so that
  // many processes together begin with few requests.
  bool HasCapacity(int own_calls, TimePoint now, std::mt19937_64& random);
  void NoteSent() { has_permit_ = false; }
  // Returns true if the slow start ends with this response.
  bool NoteGoodResponse();
  // Records a slow, refused or failed response.
  void NoteBadResponse();

 private:
  bool is_active_ = false;
  double limit_ = 0;
  double first_limit_ = 0;
  double end_limit_ = 0;
  // Whether a request beyond the whole part of the limit is allowed until
  // `next_draw_`.
  bool has_permit_ = false;
  TimePoint next_draw_{};
};

}  // namespace carawayrelay
