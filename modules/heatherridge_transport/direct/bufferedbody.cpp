#include "heatherridge_transport/direct/bufferedbody.h"

#include <algorithm>
#include <utility>

namespace Heatherridge
{

void BufferedBody::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_pieces.empty() || m_pieces.back().size() == PieceBytes) {
            m_pieces.emplace_back();
            m_pieces.back().reserve(m_pieces.size() > 1 ? PieceBytes : 0); // most bodies are shorter than a piece
        }
        auto &piece = m_pieces.back();
        const auto part = bytes.substr(0, PieceBytes - piece.size());
        piece.append(part);
        bytes.remove_prefix(part.size());
    }
}

std::size_t BufferedBody::size() const
{
    return m_size;
}

std::string BufferedBody::take()
{
    const auto size = std::exchange(m_size, 0);
    auto pieces = std::exchange(m_pieces, {});
    if (pieces.size() == 1) {
        return std::move(pieces.front());
    }
    std::string body;
    body.reserve(size);
    for (auto &piece : pieces) {
        body.append(std::exchange(piece, {}));
    }
    return body;
}

} // namespace Heatherridge
