#include "gateway/conversations/conversationsearch.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

using namespace Heatherridge;

namespace
{

using std::chrono::seconds;

/** Seed of the first conversation and time for the search, unless the environment sets others. */
constexpr std::uint64_t DefaultSeed = 20261203;
constexpr auto SeedVariable = "HEATHERRIDGE_CONVERSATION_SEED";
constexpr seconds DefaultSearchTime{15};
constexpr auto SecondsVariable = "HEATHERRIDGE_CONVERSATION_SECONDS";
/** Of a run without such variables, so that it holds the same conversations each time. */
constexpr int DefaultConversations = 400;
constexpr auto ConversationsVariable = "HEATHERRIDGE_CONVERSATIONS";
/** Conversations at the same time, each with about ten threads. */
constexpr std::size_t AtOnce = 24;

std::uint64_t setting(const char *variable, std::uint64_t defaultValue)
{
    const auto *text = std::getenv(variable);
    return text != nullptr ? std::stoull(text) : defaultValue;
}

// Guards against answers that are not the caller's own, not whole or not in the protocol, in orders of events that no
// other test describes.
TEST(RandomConversations, KeepTheRules)
{
    const seconds searchTime(setting(SecondsVariable, DefaultSearchTime.count()));
    const auto result =
        searchConversations({.seed = setting(SeedVariable, DefaultSeed),
                             .maxConversations = static_cast<int>(setting(ConversationsVariable, DefaultConversations)),
                             .searchTime = searchTime,
                             .shrinkTime = searchTime,
                             .atOnce = AtOnce});
    std::cout << result.conversations << " conversations\n";
    if (!result.report.empty()) {
        ADD_FAILURE() << result.report;
    }
}

} // namespace
