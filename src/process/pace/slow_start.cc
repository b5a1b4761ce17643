#include "process/pace/slow_start.h"

#include <algorithm>
#include <cmath>

namespace carawayrelay {
namespace {

// Part of the slots with which all processes together begin.
constexpr double kFirstShare = 0.25;
// The slow start ends at this multiple of the part of the slots of one process,
// but at least at kMinEndLimit requests.
constexpr double kEndShare = 4;
constexpr double kMinEndLimit = 2;
// A process sees few responses of one backend server. Below one request the
// limit grows faster, so that the server is not idle for long.
constexpr double kGrowthBelowOne = 4;
constexpr double kGrowth = 2;
constexpr double kFall = 0.5;
constexpr std::chrono::milliseconds kDrawInterval{100};

}  // namespace

void SlowStart::Begin(int slots, size_t members) {
  const double part = static_cast<double>(slots) /
                      static_cast<double>(std::max<size_t>(members, 1));
  is_active_ = true;
  first_limit_ = part * kFirstShare;
  end_limit_ = std::min(std::max(part * kEndShare, kMinEndLimit),
                        static_cast<double>(slots));
  limit_ = first_limit_;
  has_permit_ = false;
  next_draw_ = TimePoint{};
}

bool SlowStart::HasCapacity(int own_calls,
                            TimePoint now,
                            std::mt19937_64& random) {
  if (!is_active_) {
    return true;
  }
  const double whole = std::floor(limit_);
  if (now >= next_draw_) {
    next_draw_ = now + kDrawInterval;
    has_permit_ =
        std::uniform_real_distribution<double>(0, 1)(random) < limit_ - whole;
  }
  return own_calls < whole || (own_calls == whole && has_permit_);
}

bool SlowStart::NoteGoodResponse() {
  if (!is_active_) {
    return false;
  }
  limit_ *= limit_ < 1 ? kGrowthBelowOne : kGrowth;
  is_active_ = limit_ < end_limit_;
  return !is_active_;
}

void SlowStart::NoteBadResponse() {
  limit_ = std::max(first_limit_, limit_ * kFall);
}

}  // namespace carawayrelay
