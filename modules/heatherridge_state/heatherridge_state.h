#pragma once

/**
 * Module heatherridge_state.
 *
 * Purpose: shared state and decision logic as plain values and deterministic functions: names, errors, configuration
 * documents, the fold of the log's records, and load-dependent decisions. Performs no I/O, reads no clock and creates
 * no threads.
 *
 * Dependencies: the C++ standard library and xxHash. Must not include Asio, HTTP, log or codec headers (checked by CI).
 */

#include "heatherridge_state/base/clock.h"
#include "heatherridge_state/base/errorkind.h"
#include "heatherridge_state/base/ids.h"
#include "heatherridge_state/base/randomsource.h"
#include "heatherridge_state/base/result.h"
#include "heatherridge_state/config/inidocument.h"
#include "heatherridge_state/config/inventory.h"
#include "heatherridge_state/config/ruleset.h"
#include "heatherridge_state/config/sectionreader.h"
#include "heatherridge_state/decisions/admissionqueue.h"
#include "heatherridge_state/decisions/backoff.h"
#include "heatherridge_state/decisions/concurrencylimit.h"
#include "heatherridge_state/decisions/healthtracker.h"
#include "heatherridge_state/decisions/hedgedelay.h"
#include "heatherridge_state/decisions/linkplan.h"
#include "heatherridge_state/decisions/placement.h"
#include "heatherridge_state/decisions/prefixindex.h"
#include "heatherridge_state/decisions/requestcost.h"
#include "heatherridge_state/decisions/retrypolicy.h"
#include "heatherridge_state/decisions/slewratelimiter.h"
#include "heatherridge_state/decisions/slownesstracker.h"
#include "heatherridge_state/decisions/subsetselection.h"
#include "heatherridge_state/fold/configstate.h"
#include "heatherridge_state/fold/fencinggate.h"
#include "heatherridge_state/membership/draintracker.h"
#include "heatherridge_state/membership/membership.h"
