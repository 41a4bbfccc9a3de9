#pragma once

#include <string>
#include <vector>

namespace Heatherridge
{

/** Rows of text whose columns are aligned when printed. */
class TextTable
{
public:
    /** A table with these column titles. */
    explicit TextTable(std::vector<std::string> titles);

    /** Adds one row; missing cells stay empty. */
    void add(std::vector<std::string> cells);

    /** The whole table, each row with its line feed. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Heatherridge
