#pragma once

// Public header of the process library: what lives as long as the process.

#include "process/agent_process.h"
#include "process/agent_settings.h"
#include "process/engine_client.h"
#include "process/engine_response.h"
#include "process/events.h"
#include "process/gate.h"
#include "process/http_server.h"
#include "process/link_thread.h"
#include "process/load_watch.h"
#include "process/log.h"
#include "process/platform_client.h"
#include "process/ring.h"
