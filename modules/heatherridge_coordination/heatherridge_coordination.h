#pragma once

/**
 * Module heatherridge_coordination.
 *
 * Purpose: coordination between the processes: following the log, relaying it, membership, keys, expert groups. Each
 * part is a state machine that takes events and returns actions, or accesses external services through an interface.
 * None owns a socket or a thread.
 *
 * Dependencies: heatherridge_protocol, heatherridge_state.
 */

#include "heatherridge_coordination/answers/answerassembler.h"
#include "heatherridge_coordination/answers/resumepoint.h"
#include "heatherridge_coordination/config/configagent.h"
#include "heatherridge_coordination/config/publisher.h"
#include "heatherridge_coordination/config/snapshotwriter.h"
#include "heatherridge_coordination/logservice.h"
