#pragma once

// Public header of the request library: values and decision functions that live
// for one request, attempt or batch item.

#include "request/backend_choice.h"
#include "request/batch_item.h"
#include "request/boot_clock.h"
#include "request/client_request.h"
#include "request/error.h"
#include "request/fair_queue.h"
#include "request/ids.h"
#include "request/overloaded.h"
#include "request/prompt_parts.h"
#include "request/refusal.h"
#include "request/retry_policy.h"
#include "request/sse_parser.h"
#include "request/token_bucket.h"
#include "request/trace_context.h"
