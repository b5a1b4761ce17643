#pragma once

// Public header of the version library: types that live for one version of the
// configuration.

#include "version/access_check.h"
#include "version/config_document.h"
#include "version/config_edit.h"
#include "version/config_history.h"
#include "version/config_snapshot.h"
#include "version/findings.h"
#include "version/issued_key.h"
#include "version/json_reader.h"
#include "version/secret_hash.h"
