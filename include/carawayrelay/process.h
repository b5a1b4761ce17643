#pragma once

// Public header of the process library: what lives as long as the process.

#include "process/admin_api.h"
#include "process/batch_thread.h"
#include "process/config_store.h"
#include "process/config_watch.h"
#include "process/events.h"
#include "process/http_client.h"
#include "process/http_server.h"
#include "process/link_thread.h"
#include "process/log.h"
#include "process/platform_client.h"
#include "process/refusal_json.h"
#include "process/ring.h"
