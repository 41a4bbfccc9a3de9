#include "heatherridge_coordination/answers/eventstreamsplitter.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct SplitCase
{
    const char *name;
    std::string bytes;
    std::vector<std::string> pieces;
    bool hasPartialEvent = false;
    std::uint32_t completedEvents = 1;
};

const SplitCase SplitCases[] = {
    {"Nothing", "", {}, false, 0},
    {"TwoEvents", "id: 1\ndata: a\n\nid: 2\n\n", {"id: 1\ndata: a\n\n", "id: 2\n\n"}, false, 2},
    {"CrLf", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", {"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}, false, 2},
    {"MixedLineEnds", "id: 1\n\r\nid: 2\r\n\n", {"id: 1\n\r\n", "id: 2\r\n\n"}, false, 2},
    {"CutInALine", "id: 1\n\nid: 2\nda", {"id: 1\n\n"}, true},
    {"CutBeforeTheBlankLine", "id: 1\n\nid: 2\ndata: b\n", {"id: 1\n\n"}, true},
    {"CutInTheBlankLine", "id: 1\r\n\r\nid: 2\r\n\r", {"id: 1\r\n\r\n"}, true},
    {"SurplusBlankLine", "id: 1\n\n\n", {"id: 1\n\n", "\n"}},
    {"CommentLineAfterAnEvent", "id: 1\n\n: end\n", {"id: 1\n\n", ": end\n"}},
    {"CutInAComment", "id: 1\n\n: en", {"id: 1\n\n"}, true},
    {"CommentInsideAnEvent", "id: 1\n: c\ndata: a\n\n", {"id: 1\n: c\ndata: a\n\n"}},
    {"CommentAfterTheFieldsOfAnEvent", "id: 1\n: c\n", {}, true, 0},
    {"CommentBeforeAnEvent", ": c\nid: 1\n\n", {": c\n", "id: 1\n\n"}},
    {"OnlyAComment", ": c\n\n", {": c\n", "\n"}, false, 0},
};

class Splits : public testing::TestWithParam<SplitCase>
{
};

// Guards against an end outside an event that counts as a cut one, and against a cut event that is passed on, however
// the bytes are divided.
TEST_P(Splits, AreTheSameForEveryDivisionOfTheBytes)
{
    const auto &testCase = GetParam();
    for (std::size_t size = 1; size <= testCase.bytes.size() + 1; ++size) {
        EventStreamSplitter splitter;
        std::vector<std::string> pieces;
        for (std::size_t begin = 0; begin < testCase.bytes.size(); begin += size) {
            for (const auto &piece : splitter.feed(std::string_view(testCase.bytes).substr(begin, size))) {
                pieces.push_back(piece.text);
            }
        }
        EXPECT_EQ(pieces, testCase.pieces) << size;
        EXPECT_EQ(splitter.hasPartialEvent(), testCase.hasPartialEvent) << size;
        EXPECT_EQ(splitter.completedEvents(), testCase.completedEvents) << size;
    }
}

INSTANTIATE_TEST_SUITE_P(All, Splits, testing::ValuesIn(SplitCases), [](const auto &row) { return row.param.name; });

} // namespace
