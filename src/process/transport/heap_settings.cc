#include "process/transport/heap_settings.h"

#include <malloc.h>

namespace carawayrelay {

void SetUpHeap() {
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kMappedBlockBytes));
  mallopt(M_TRIM_THRESHOLD, static_cast<int>(kMappedBlockBytes));
}

}  // namespace carawayrelay
