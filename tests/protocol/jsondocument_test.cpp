#include "heatherridge_protocol/jsondocument.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t index = 0; index < count; ++index) {
        result += text;
    }
    return result;
}

struct DocumentRow
{
    const char *name;
    std::string document;
    bool isParsed;
};

const DocumentRow DocumentRows[] = {
    {"DeepestArrays", repeated("[", MaxJsonDepth) + repeated("]", MaxJsonDepth), true},
    {"ArraysTooDeep", repeated("[", MaxJsonDepth + 1) + repeated("]", MaxJsonDepth + 1), false},
    {"DeepestObjects", repeated(R"({"a":)", MaxJsonDepth) + "1" + repeated("}", MaxJsonDepth), true},
    {"ObjectsTooDeep", repeated(R"({"a":)", MaxJsonDepth + 1) + "1" + repeated("}", MaxJsonDepth + 1), false},
    {"DeepAfterMany", "[" + repeated("[],", 1'000) + repeated("[", MaxJsonDepth) + repeated("]", MaxJsonDepth) + "]",
     false},
    {"ManySideBySide", "[" + repeated("[{}],", 1'000) + "1]", true},
    {"BracketsInText", "[\"" + repeated("[{", 1'000) + "\"]", true},
    {"EscapedQuotes", R"(["\"\\\"[)" + repeated("[", 1'000) + "\"]", true},
    {"BackslashAtTheEndOfText", R"(["\\",)" + repeated("[", 1'000) + repeated("]", 1'000) + "]", false},
    {"TooDeepInAKey", R"({"[":)" + repeated("[", 1'000) + repeated("]", 1'000) + "}", false},
    {"OnlyEnds", repeated("]", 1'000), false},
    {"OnlyBeginnings", repeated("[", 1'000'000), false},
    {"Nothing", "", false},
    {"OddBytes", "\"\xff\"", false},
};

class JsonDocuments : public testing::TestWithParam<DocumentRow>
{
};

// Guards against a process that ends because it copies or writes a deeply nested value from another process.
TEST_P(JsonDocuments, AreParsedUpToADepth)
{
    const auto value = parseJson(GetParam().document);
    ASSERT_EQ(!value.is_discarded(), GetParam().isParsed);
    if (GetParam().isParsed) {
        EXPECT_EQ(value, nlohmann::json::parse(value.dump()));
    }
}

INSTANTIATE_TEST_SUITE_P(All, JsonDocuments, testing::ValuesIn(DocumentRows),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
