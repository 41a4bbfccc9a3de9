#pragma once

/**
 * Module heatherridge_coordination.
 *
 * Purpose: what the processes do together: following the log, relaying it, membership, keys, expert groups. Each part
 * is a state machine that takes events and returns actions, or reaches the outside through an interface; none owns a
 * socket or a thread.
 *
 * Dependencies: heatherridge_protocol, heatherridge_state.
 */

#include "heatherridge_coordination/answers/answerassembler.h"
#include "heatherridge_coordination/answers/resumepoint.h"
#include "heatherridge_coordination/config/configagent.h"
#include "heatherridge_coordination/config/publisher.h"
#include "heatherridge_coordination/config/snapshotwriter.h"
#include "heatherridge_coordination/logservice.h"
