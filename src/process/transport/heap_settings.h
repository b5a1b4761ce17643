#pragma once

#include <cstddef>

namespace carawayrelay {

// Blocks of this size or larger are mapped each on its own, so that their
// memory returns to the system as soon as they are freed, and so that of a
// reserved block only the pages that were written are resident.
inline constexpr size_t kMappedBlockBytes = size_t{128} << 10;

// Sets up the allocator of the process. Must be called before threads start.
// Without it, the GNU C library raises the size of mapped blocks to that of the
// largest one that was freed, and later blocks stay resident after their use.
void SetUpHeap();

}  // namespace carawayrelay
