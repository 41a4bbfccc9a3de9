#include "heatherridge_coordination/answers/answerassembler.h"
#include "heatherridge_coordination/answers/resumepoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace Heatherridge;

namespace
{

Bytes toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

// Guards against swapped, repeated or missing words in an answer. These occur when the entry forwards frames in arrival
// order from two connections, one of which has resent frames after being interrupted. Frames must be ordered by number:
// the caller always has a prefix of the answer, and the answer is never reported complete too early.
RC_GTEST_PROP(AnswerAssembler, ReassemblesOutOfOrderAndDuplicateFrames, ())
{
    const auto frames = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    std::string expected;
    std::vector<std::size_t> arrivals;
    for (std::size_t index = 0; index < frames.size(); ++index) {
        expected += frames[index];
        const auto copies = *rc::gen::inRange(1, 4);
        arrivals.insert(arrivals.end(), static_cast<std::size_t>(copies), index);
    }
    for (std::size_t unshuffled = arrivals.size(); unshuffled > 1; --unshuffled) {
        std::swap(arrivals[unshuffled - 1], arrivals[*rc::gen::inRange<std::size_t>(0, unshuffled)]);
    }
    const auto countStep = *rc::gen::inRange<std::size_t>(0, arrivals.size() + 1);
    AnswerAssembler assembler({.maxBufferedBytes = 1U << 20U, .maxBufferedFrames = 1000});
    std::string received;
    for (std::size_t step = 0; step <= arrivals.size(); ++step) {
        if (step == countStep) {
            RC_ASSERT(errorIn(assembler.setFrameCount(frames.size())) == nullptr);
        }
        if (step == arrivals.size()) {
            break;
        }
        const auto result = assembler.addFrame(arrivals[step], toBytes(frames[arrivals[step]]));
        RC_ASSERT(errorIn(result) == nullptr);
        const auto &ready = std::get<Bytes>(result);
        received.append(ready.begin(), ready.end());
        RC_ASSERT(expected.compare(0, received.size(), received) == 0);
        RC_ASSERT(!assembler.isComplete() || assembler.nextSequence() == frames.size());
    }
    RC_ASSERT(received == expected);
    RC_ASSERT(assembler.isComplete());
    RC_ASSERT(assembler.bufferedBytes() == 0U);
}

struct FailureCase
{
    const char *description;
    std::vector<std::pair<std::uint64_t, const char *>> frames;
    std::optional<std::uint64_t> end;
    bool fails;
};

const FailureCase FailureCases[] = {
    {"a frame of another answer with the number of a buffered frame", {{1, "a"}, {1, "b"}}, {}, true},
    {"a frame of another answer with the number of a delivered frame", {{0, "a"}, {0, "b"}}, {}, true},
    {"a frame past the end", {{0, "a"}, {1, "b"}}, 1, true},
    {"more buffered frames than the limit", {{1, "a"}, {2, "a"}, {3, "a"}, {4, "a"}}, {}, true},
    {"more buffered bytes than the limit", {{1, "aaaaaaaaaaa"}}, {}, true},
    {"a gap leaves the answer incomplete", {{0, "a"}, {2, "c"}}, 3, false},
    {"an answer without frames is complete", {}, 0, false},
};

class InvalidFrames : public testing::TestWithParam<FailureCase>
{
};

TEST_P(InvalidFrames, FailPermanently)
{
    AnswerAssembler assembler({.maxBufferedBytes = 10, .maxBufferedFrames = 3});
    bool failed = false;
    for (const auto &[sequence, text] : GetParam().frames) {
        failed |= errorIn(assembler.addFrame(sequence, toBytes(text))) != nullptr;
    }
    if (GetParam().end) {
        failed |= errorIn(assembler.setFrameCount(*GetParam().end)) != nullptr;
    }
    EXPECT_EQ(failed, GetParam().fails) << GetParam().description;
    EXPECT_EQ(assembler.isComplete(), GetParam().frames.empty()) << GetParam().description;
    EXPECT_EQ(errorIn(assembler.addFrame(0, toBytes("a"))) != nullptr, failed || GetParam().frames.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidFrames, testing::ValuesIn(FailureCases));

// Guards against an answer whose second half does not continue its first. This occurs when a target dies in the middle
// of a stream and the target that resumes it samples different tokens. The repeated tokens must be compared before any
// new token is forwarded.
RC_GTEST_PROP(ResumePoint, AcceptsOnlyMatchingContinuation, ())
{
    const auto tokens = *rc::gen::nonEmpty<std::vector<std::string>>();
    const auto deliveredCount = *rc::gen::inRange<std::size_t>(0, tokens.size() + 1);
    const auto changedIndex = *rc::gen::inRange<std::size_t>(0, tokens.size());
    const bool hasChange = *rc::gen::arbitrary<bool>();
    ResumePoint point({.overlapTokens = 4});
    for (std::size_t index = 0; index < deliveredCount; ++index) {
        point.addDeliveredToken(toBytes(tokens[index]));
    }
    std::vector<std::string> received(tokens.begin(), tokens.begin() + static_cast<std::ptrdiff_t>(deliveredCount));
    const auto from = point.beginResume();
    RC_ASSERT(from + 4 >= deliveredCount);
    bool rejected = false;
    for (auto position = from; position < tokens.size() && !rejected; ++position) {
        const auto &token = tokens[position];
        const auto result =
            point.acceptToken(position, toBytes(hasChange && position == changedIndex ? token + "x" : token));
        rejected = errorIn(result) != nullptr;
        if (!rejected && std::get<std::optional<Bytes>>(result)) {
            const auto &newToken = *std::get<std::optional<Bytes>>(result);
            received.emplace_back(newToken.begin(), newToken.end());
        }
    }
    const bool mustReject = hasChange && changedIndex >= from && changedIndex < deliveredCount;
    RC_ASSERT(rejected == mustReject);
    RC_ASSERT(point.deliveredTokens() == received.size());
    RC_ASSERT(received.size() == (rejected ? deliveredCount : tokens.size()));
    RC_ASSERT(errorIn(point.acceptToken(point.deliveredTokens() + 2, {})) != nullptr);
}

} // namespace
