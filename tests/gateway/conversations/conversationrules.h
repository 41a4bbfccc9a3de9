#pragma once

#include "gateway/conversations/conversation.h"

#include <string>
#include <vector>

namespace Heatherridge
{

/**
 * Returns what the gateway did wrong in a conversation, one line each; empty if it did nothing wrong.
 *
 * Judges only what callers and targets saw: each answer is that of one attempt at this very request, whole or
 * recognisably cut off; promises that a request has not run are true; what may run once runs at most once; targets get
 * what callers sent.
 */
std::vector<std::string> brokenRules(const ObservedConversation &record);

} // namespace Heatherridge
