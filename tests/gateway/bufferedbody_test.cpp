#include "heatherridge_transport/direct/bufferedbody.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct BodyRow
{
    const char *name;
    std::size_t size;
    std::size_t step; ///< bytes that are appended at once
};

constexpr std::size_t Piece = BufferedBody::PieceBytes;

const BodyRow BodyRows[] = {
    {"Empty", 0, 1},
    {"PartOfAPiece", Piece - 1, 100},
    {"OnePiece", Piece, Piece},
    {"OneByteMore", Piece + 1, 1'000},
    {"ManyPieces", 5 * Piece + 3, 8'192},
    {"ManyPiecesAtOnce", 5 * Piece + 3, 5 * Piece + 3},
};

class BufferedBodies : public testing::TestWithParam<BodyRow>
{
};

// Guards against bytes that are lost, repeated or out of order where one piece ends and the next begins.
TEST_P(BufferedBodies, AreWhatWasAppended)
{
    std::string sent;
    for (std::size_t index = 0; index < GetParam().size; ++index) {
        sent.push_back(static_cast<char>('a' + index % 23));
    }
    BufferedBody body;
    for (int use = 0; use < 2; ++use) {
        for (std::string_view rest = sent; !rest.empty();) {
            const auto part = rest.substr(0, GetParam().step);
            body.append(part);
            rest.remove_prefix(part.size());
        }
        EXPECT_EQ(body.size(), sent.size());
        EXPECT_EQ(body.take(), sent);
        EXPECT_EQ(body.size(), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(All, BufferedBodies, testing::ValuesIn(BodyRows),
                         [](const auto &info) { return info.param.name; });

} // namespace
