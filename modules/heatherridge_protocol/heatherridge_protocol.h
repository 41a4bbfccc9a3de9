#pragma once

/**
 * Module heatherridge_protocol.
 *
 * Purpose: typed messages between the processes of this system, records that it keeps in the platform's log, and the
 * CBOR encoding of both. Decoders treat input as untrusted and validate the presence, type and range of each field.
 *
 * Dependencies: heatherridge_state, nlohmann-json (CBOR codec).
 */

#include "heatherridge_protocol/attemptid.h"
#include "heatherridge_protocol/envelope.h"
#include "heatherridge_protocol/trafficmessage.h"
