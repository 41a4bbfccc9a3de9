#include "heatherridge_transport/platform/hostlistreader.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct HostListCase
{
    const char *body;
    std::optional<std::vector<HostState>> states;
};

const HostListCase HostListCases[] = {
    {R"({"hosts":[]})", std::vector<HostState>{}},
    {R"({"hosts":[{"host":"h","state":"live"},{"host":"h","state":"leaving"}]})",
     std::vector<HostState>{HostState::Live, HostState::Leaving}},
    {R"({"hosts":[{"host":"h","state":"resting"}]})", std::vector<HostState>{}},
    {R"({"hosts":[{"host":7,"state":"live"}]})", std::nullopt},
    {R"({"hosts":[{"host":"h","state":"live"},{"host":7,"state":"live"},{"host":"i","state":"leaving"}]})",
     std::vector<HostState>{HostState::Live, HostState::Leaving}},
    {R"({"hosts":[null,{"host":"h"},{"host":"h","state":"live"},[],{"state":"live"},{"host":"i","state":["live"]}]})",
     std::vector<HostState>{HostState::Live}},
    {R"({"hosts":{}})", std::nullopt},
    {R"({"hosts":[)", std::nullopt},
    {"", std::nullopt},
};

class HostListBody : public testing::TestWithParam<HostListCase>
{
};

// Guards against a list that is not followed because one of its entries is odd.
TEST_P(HostListBody, IsParsedWithoutOddEntriesOrRejected)
{
    const auto hosts = parseHostList(GetParam().body);
    ASSERT_EQ(hosts.has_value(), GetParam().states.has_value()) << GetParam().body;
    if (!hosts) {
        return;
    }
    std::vector<HostState> states;
    states.reserve(hosts->size());
    for (const auto &host : *hosts) {
        states.push_back(host.state);
    }
    EXPECT_EQ(states, *GetParam().states) << GetParam().body;
}

INSTANTIATE_TEST_SUITE_P(Table, HostListBody, testing::ValuesIn(HostListCases));

} // namespace
