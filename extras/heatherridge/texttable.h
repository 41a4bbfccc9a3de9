#pragma once

#include <string>
#include <vector>

namespace Heatherridge
{

/** A table of text with aligned columns. */
class TextTable
{
public:
    /** Creates a table with the given column titles. */
    explicit TextTable(std::vector<std::string> titles);

    /** Adds one row; missing cells stay empty. */
    void add(std::vector<std::string> cells);

    /** Returns the whole table; each row ends with a line feed. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Heatherridge
