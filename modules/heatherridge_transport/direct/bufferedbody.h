#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Heatherridge
{

/**
 * The body of a message as far as it has arrived, in pieces of the same size.
 *
 * A string that grows doubles, and leaves gaps in the process's memory that the next larger ones do not fit into: many
 * bodies that grow at the same time took several times their bytes.
 */
class BufferedBody
{
public:
    /** Size of a piece. */
    static constexpr std::size_t PieceBytes = 16UL << 10U;

    void append(std::string_view bytes);

    /** Returns the number of bytes appended. */
    std::size_t size() const;

    /** Returns the body and becomes empty. Each piece is freed once it is copied. */
    std::string take();

private:
    std::vector<std::string> m_pieces; ///< all but the last one are full
    std::size_t m_size = 0;
};

} // namespace Heatherridge
