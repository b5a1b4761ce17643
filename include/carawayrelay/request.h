#pragma once

// Public header of the request library: values and decisions that live for one
// request, attempt or batch item.

#include "request/batch_item.h"
#include "request/boot_clock.h"
#include "request/error.h"
#include "request/ids.h"
#include "request/overloaded.h"
#include "request/refusal.h"
