#include "heatherridge_state/heatherridge_state.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace Heatherridge;

namespace
{

std::string readPage()
{
    std::ifstream file(HEATHERRIDGE_SOURCE_DIR "/docs/operating/refusals.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t countTableRows(const std::string &text)
{
    std::size_t rows = 0;
    for (std::size_t position = text.find("\n| "); position != std::string::npos;
         position = text.find("\n| ", position + 1)) {
        ++rows;
    }
    return rows;
}

// An operator looks a refusal up and finds another status or nothing: the page has been left behind by the code.
TEST(RefusalsPage, ListsEachErrorKindAndRetryVerdict)
{
    const auto text = readPage();
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
    EXPECT_EQ(countTableRows(text),
              allErrorAnswers().size() + allRetryVerdicts().size() + 2); // and two rows of headings
}

} // namespace
