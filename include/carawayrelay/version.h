#pragma once

// Public header of the version library: what lives for one version of the
// configuration.

#include "version/config_document.h"
#include "version/config_history.h"
#include "version/config_snapshot.h"
#include "version/findings.h"
#include "version/json_reader.h"
#include "version/secret_hash.h"
