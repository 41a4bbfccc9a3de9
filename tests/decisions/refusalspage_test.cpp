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

// Guards against a page of refusals that is out of date: an operator would look a refusal up and find another status or
// nothing.
TEST(RefusalsPage, ListsEachErrorKindAndRetryVerdict)
{
    const auto text = readPage();
    for (const auto &row : allErrorDescriptors()) {
        const auto line = "\n| " + std::string(row.name) + " | " + std::to_string(row.httpStatus) + " | "
            + std::string(toString(row.ran)) + " | " + (row.isRetryable ? "yes" : "no") + " | "
            + std::string(row.summary) + " | ";
        EXPECT_NE(text.find(line), std::string::npos) << line;
    }
    for (const auto &row : allRetryVerdicts()) {
        const auto line = "\n| " + std::string(row.name) + " | " + std::string(row.meaning) + " | ";
        EXPECT_NE(text.find(line), std::string::npos) << line;
    }
    EXPECT_EQ(countTableRows(text),
              allErrorDescriptors().size() + allRetryVerdicts().size() + 2); // plus two header rows
}

} // namespace
