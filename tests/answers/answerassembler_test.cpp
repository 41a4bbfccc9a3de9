#include "heatherridge_coordination/answers/answerassembler.h"
#include "heatherridge_coordination/answers/resumepoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace Heatherridge;

namespace
{

Bytes bytesOf(std::string_view text)
{
    return {text.begin(), text.end()};
}

// A caller sees words of its answer swapped, twice, or missing. The entry passed frames on in the order in which two
// connections brought them, one of which had sent some frames again after it was cut. Frames are put into order by
// their numbers; whatever arrives, the caller has a prefix of the answer and is never told "complete" too early.
RC_GTEST_PROP(AnswerAssembler, AnyOrderWithDoublesGivesTheAnswer, ())
{
    const auto frames = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
    std::string whole;
    std::vector<std::size_t> arrivals;
    for (std::size_t index = 0; index < frames.size(); ++index) {
        whole += frames[index];
        const auto copies = *rc::gen::inRange(1, 4);
        arrivals.insert(arrivals.end(), static_cast<std::size_t>(copies), index);
    }
    for (std::size_t left = arrivals.size(); left > 1; --left) {
        std::swap(arrivals[left - 1], arrivals[*rc::gen::inRange<std::size_t>(0, left)]);
    }
    const auto endAt = *rc::gen::inRange<std::size_t>(0, arrivals.size() + 1);
    AnswerAssembler assembler({.maxWaitingBytes = 1U << 20U, .maxWaitingFrames = 1000});
    std::string got;
    for (std::size_t step = 0; step <= arrivals.size(); ++step) {
        if (step == endAt) {
            RC_ASSERT(errorIn(assembler.end(frames.size())) == nullptr);
        }
        if (step == arrivals.size()) {
            break;
        }
        const auto result = assembler.take(arrivals[step], bytesOf(frames[arrivals[step]]));
        RC_ASSERT(errorIn(result) == nullptr);
        const auto &ready = std::get<Bytes>(result);
        got.append(ready.begin(), ready.end());
        RC_ASSERT(whole.compare(0, got.size(), got) == 0);
        RC_ASSERT(!assembler.isComplete() || assembler.nextSequence() == frames.size());
    }
    RC_ASSERT(got == whole);
    RC_ASSERT(assembler.isComplete());
    RC_ASSERT(assembler.waitingBytes() == 0U);
}

struct BreakRow
{
    const char *story;
    std::vector<std::pair<std::uint64_t, const char *>> frames;
    std::optional<std::uint64_t> end;
    bool breaks;
};

const BreakRow BreakRows[] = {
    {"a frame of another answer under a number that is waiting", {{1, "a"}, {1, "b"}}, {}, true},
    {"a frame of another answer under a number that was handed out", {{0, "a"}, {0, "b"}}, {}, true},
    {"a frame past the end", {{0, "a"}, {1, "b"}}, 1, true},
    {"more frames wait than the bound", {{1, "a"}, {2, "a"}, {3, "a"}, {4, "a"}}, {}, true},
    {"more bytes wait than the bound", {{1, "aaaaaaaaaaa"}}, {}, true},
    {"a gap only leaves it incomplete", {{0, "a"}, {2, "c"}}, 3, false},
    {"no frame at all is a whole answer of none", {}, 0, false},
};

class BrokenAnswers : public testing::TestWithParam<BreakRow>
{
};

TEST_P(BrokenAnswers, AreRefusedForGood)
{
    AnswerAssembler assembler({.maxWaitingBytes = 10, .maxWaitingFrames = 3});
    bool broke = false;
    for (const auto &[sequence, text] : GetParam().frames) {
        broke |= errorIn(assembler.take(sequence, bytesOf(text))) != nullptr;
    }
    if (GetParam().end) {
        broke |= errorIn(assembler.end(*GetParam().end)) != nullptr;
    }
    EXPECT_EQ(broke, GetParam().breaks) << GetParam().story;
    EXPECT_EQ(assembler.isComplete(), GetParam().frames.empty()) << GetParam().story;
    EXPECT_EQ(errorIn(assembler.take(0, bytesOf("a"))) != nullptr, broke || GetParam().frames.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, BrokenAnswers, testing::ValuesIn(BreakRows));

// A caller reads an answer whose second half doesn't belong to its first. The target died in mid-stream, another took
// the stream up, but sampled other tokens. The repeated tokens are compared before anything new is passed on.
RC_GTEST_PROP(ResumePoint, PassesOnlyTheSameContinuation, ())
{
    const auto tokens = *rc::gen::nonEmpty<std::vector<std::string>>();
    const auto cut = *rc::gen::inRange<std::size_t>(0, tokens.size() + 1);
    const auto changed = *rc::gen::inRange<std::size_t>(0, tokens.size());
    const bool differs = *rc::gen::arbitrary<bool>();
    ResumePoint point({.overlapTokens = 4});
    for (std::size_t index = 0; index < cut; ++index) {
        point.passedOn(bytesOf(tokens[index]));
    }
    std::vector<std::string> got(tokens.begin(), tokens.begin() + static_cast<std::ptrdiff_t>(cut));
    const auto from = point.beginResume();
    RC_ASSERT(from + 4 >= cut);
    bool refused = false;
    for (auto position = from; position < tokens.size() && !refused; ++position) {
        const auto &token = tokens[position];
        const auto result = point.take(position, bytesOf(differs && position == changed ? token + "x" : token));
        refused = errorIn(result) != nullptr;
        if (!refused && std::get<std::optional<Bytes>>(result)) {
            const auto &passed = *std::get<std::optional<Bytes>>(result);
            got.emplace_back(passed.begin(), passed.end());
        }
    }
    const bool mustRefuse = differs && changed >= from && changed < cut;
    RC_ASSERT(refused == mustRefuse);
    RC_ASSERT(point.tokens() == got.size());
    RC_ASSERT(got.size() == (refused ? cut : tokens.size()));
    RC_ASSERT(errorIn(point.take(point.tokens() + 2, {})) != nullptr);
}

} // namespace
