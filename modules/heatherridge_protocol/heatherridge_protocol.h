#pragma once

/**
 * Module heatherridge_protocol.
 *
 * Purpose: the typed messages between this system's own processes and the records it keeps on the platform's log, and
 * their CBOR form. Decoding never trusts its input: each field's presence, type and bound is checked.
 *
 * Dependencies: heatherridge_state, nlohmann-json (CBOR codec).
 */

#include "heatherridge_protocol/attemptid.h"
#include "heatherridge_protocol/envelope.h"
#include "heatherridge_protocol/trafficmessage.h"
