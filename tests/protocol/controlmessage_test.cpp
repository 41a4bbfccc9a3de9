#include "heatherridge_protocol/cborreader.h"
#include "heatherridge_protocol/controlmessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const ControlMessage Messages[] = {
    RecordsRelay{.records = {{.offset = LogOffset{7}, .payload = {1, 2}}, {.offset = LogOffset{8}, .payload = {}}}},
    RecordsRequest{.from = LogOffset{3}},
    StateRequest{.newerThan = LogOffset{3}},
    StateOffer{.part = {.covers = LogOffset{9}, .digest = Digest{5}, .index = 1, .count = 2, .bytes = {1, 2, 3}}},
    Heartbeat{.digest = Digest{1}, .caughtUpAge = std::nullopt, .logUnreachable = true},
    Heartbeat{.digest = Digest{UINT64_MAX},
              .phase = ProcessPhase::Draining,
              .open = 12,
              .caughtUpAge = std::chrono::milliseconds(40)},
};

class EveryControlMessage : public testing::TestWithParam<ControlMessage>
{
};

TEST_P(EveryControlMessage, SurvivesARoundTrip)
{
    const auto decoded = decodeControlMessage(encodeControlMessage(GetParam()));
    ASSERT_TRUE(std::holds_alternative<ControlMessage>(decoded));
    EXPECT_EQ(std::get<ControlMessage>(decoded), GetParam());
}

TEST_P(EveryControlMessage, IsRejectedWhenAnyFieldIsMissing)
{
    const auto map = nlohmann::json::from_cbor(encodeControlMessage(GetParam()));
    for (const auto &[key, value] : map.items()) {
        if (key == "a") {
            continue; // the age is optional
        }
        auto incompleteMap = map;
        incompleteMap.erase(key);
        EXPECT_NE(errorIn(decodeControlMessage(toCbor(incompleteMap))), nullptr) << key;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, EveryControlMessage, testing::ValuesIn(Messages));

RC_GTEST_PROP(ControlMessageCodec, DamagedBytesNeverThrow, ())
{
    auto payload = encodeControlMessage(Messages[*rc::gen::inRange<std::size_t>(0, std::size(Messages))]);
    payload.at(*rc::gen::inRange<std::size_t>(0, payload.size())) = *rc::gen::arbitrary<std::uint8_t>();
    decodeControlMessage(payload);
}

} // namespace
