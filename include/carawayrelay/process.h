#pragma once

// Public header of the process library: what lives as long as the process.

#include "process/backend_table.h"
#include "process/caller_replies.h"
#include "process/chat_api.h"
#include "process/dispatch_event.h"
#include "process/dispatch_thread.h"
#include "process/dispatcher.h"
#include "process/entry_command.h"
#include "process/entry_process.h"
#include "process/entry_settings.h"
#include "process/events.h"
#include "process/http_server.h"
#include "process/link_thread.h"
#include "process/log.h"
#include "process/platform_client.h"
#include "process/ring.h"
