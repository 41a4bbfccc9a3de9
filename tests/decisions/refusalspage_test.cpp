#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace Heatherridge;

namespace
{

std::string page()
{
    std::ifstream file(HEATHERRIDGE_SOURCE_DIR "/docs/operating/refusals.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t rowsIn(const std::string &text)
{
    std::size_t rows = 0;
    for (std::size_t at = text.find("\n| "); at != std::string::npos; at = text.find("\n| ", at + 1)) {
        ++rows;
    }
    return rows;
}

// An operator looks a refusal up and finds another status or nothing: the page has been left behind by the code.
TEST(RefusalsPage, HasOneRowForEachKindAndVerdictAsInTheCode)
{
    const auto text = page();
    for (const auto &row : allErrorAnswers()) {
        const auto line = "\n| " + std::string(row.name) + " | " + std::to_string(row.httpStatus) + " | "
            + std::string(toString(row.ran)) + " | " + (row.retryHelps ? "yes" : "no") + " | "
            + std::string(row.meaning) + " | ";
        EXPECT_NE(text.find(line), std::string::npos) << line;
    }
    for (const auto &row : allRetryVerdicts()) {
        const auto line = "\n| " + std::string(row.name) + " | " + std::string(row.meaning) + " | ";
        EXPECT_NE(text.find(line), std::string::npos) << line;
    }
    EXPECT_EQ(rowsIn(text), allErrorAnswers().size() + allRetryVerdicts().size() + 2); // and two rows of headings
}

} // namespace
