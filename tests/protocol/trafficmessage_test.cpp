#include "heatherridge_protocol/heatherridge_protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Heatherridge;

namespace
{

const TrafficMessage Messages[] = {
    SubmitRequest{.id = RequestId("r"),
                  .workspace = WorkspaceName("mills"),
                  .service = ServiceName("chip-llm"),
                  .method = "POST",
                  .path = "/v1/chat/completions",
                  .query = "a=b",
                  .headers = {{"Accept", "*/*"}, {"X-Empty", ""}},
                  .body = {0, 255, 10},
                  .priority = -3,
                  .timeLeft = std::chrono::milliseconds(1500),
                  .key = IdempotencyKey("k"),
                  .mayRepeat = true,
                  .cost = 700,
                  .attempt = 2},
    CancelRequest{.id = RequestId("r")},
    GrantCredit{.id = RequestId("r"), .bytes = 65536},
    AnswerHead{.id = RequestId("r"), .status = 206, .headers = {{"Content-Type", "text/plain"}}},
    AnswerChunk{.id = RequestId("r"), .sequence = 7, .bytes = {1, 2}},
    AnswerEnd{.id = RequestId("r"), .chunks = 8},
    AnswerError{.id = RequestId("r"),
                .kind = ErrorKind::QueueFull,
                .ran = ExecutionStatus::No,
                .retryAfter = std::chrono::milliseconds(90),
                .detail = "d"},
    AnswerError{.id = RequestId("r"), .kind = ErrorKind::StreamBroken, .ran = ExecutionStatus::Yes},
    LoadReport{.target = TargetName("t"),
               .running = 3,
               .queued = 4,
               .limit = 8,
               .draining = true,
               .load = 5.5,
               .loadOfEntry = 2.5,
               .capacity = 800,
               .pressure = 1.5,
               .pendingPrompt = 70,
               .warmth = 0.25,
               .tokenInterval = std::chrono::microseconds(900)},
};

class TrafficCodec : public testing::TestWithParam<TrafficMessage>
{
};

TEST_P(TrafficCodec, SurvivesARoundTrip)
{
    const auto decoded = decodeTrafficMessage(encode(GetParam()));
    ASSERT_EQ(errorIn(decoded), nullptr) << errorIn(decoded)->detail;
    EXPECT_EQ(std::get<TrafficMessage>(decoded), GetParam());
}

// A faulty or malicious peer sends a truncated frame. It is rejected as malformed, without reading past its end.
TEST_P(TrafficCodec, EveryTruncationIsRejected)
{
    const auto frame = encode(GetParam());
    for (std::size_t size = 0; size < frame.size(); ++size) {
        const auto decoded =
            decodeTrafficMessage(Bytes(frame.begin(), frame.begin() + static_cast<std::ptrdiff_t>(size)));
        ASSERT_NE(errorIn(decoded), nullptr);
        EXPECT_EQ(errorIn(decoded)->kind, ErrorKind::MalformedFrame);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TrafficCodec, testing::ValuesIn(Messages));

RC_GTEST_PROP(Decoders, RandomBytesAreRejected, (const Bytes &bytes))
{
    const auto envelope = decodeEnvelope(bytes);
    const auto message = decodeTrafficMessage(bytes);
    RC_ASSERT(errorIn(envelope) != nullptr);
    RC_ASSERT(errorIn(message) != nullptr);
}

RC_GTEST_PROP(Decoders, ADamagedByteIsDecodedOrRejected, ())
{
    auto bytes = encode(Messages[*rc::gen::inRange<std::size_t>(0, std::size(Messages))]);
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    const auto decoded = decodeTrafficMessage(bytes);
    if (const auto *message = std::get_if<TrafficMessage>(&decoded)) {
        RC_ASSERT(errorIn(decodeTrafficMessage(encode(*message))) == nullptr);
    }
}

RC_GTEST_PROP(Envelope, SurvivesARoundTrip,
              (const std::string &sender, std::uint64_t incarnation, std::uint64_t offset, const Bytes &payload))
{
    const auto decoded = decodeEnvelope(encode(Envelope{.channel = Channel::Keys,
                                                        .sender = ProcessName(sender),
                                                        .incarnation = static_cast<Incarnation>(incarnation),
                                                        .offset = static_cast<LogOffset>(offset),
                                                        .payload = payload}));
    const auto &envelope = std::get<Envelope>(decoded);
    RC_ASSERT(envelope.sender.text() == sender);
    RC_ASSERT(toNumber(envelope.incarnation) == incarnation);
    RC_ASSERT(toNumber(envelope.offset) == offset);
    RC_ASSERT(envelope.payload == payload);
}

} // namespace
