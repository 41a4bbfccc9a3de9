#include "heatherridge_state/fold/digestbuilder.h"

#include <xxhash.h>

#include <array>

namespace Heatherridge
{

namespace
{

constexpr unsigned BitsPerByte = 8;

} // namespace

void DigestBuilder::Free::operator()(XXH3_state_s *state) const
{
    XXH3_freeState(state);
}

DigestBuilder::DigestBuilder()
    : m_state(XXH3_createState())
{
    XXH3_64bits_reset(m_state.get());
}

DigestBuilder::~DigestBuilder() = default;

DigestBuilder &DigestBuilder::add(std::uint64_t value)
{
    std::array<unsigned char, sizeof(value)> bytes{};
    for (auto &byte : bytes) {
        byte = static_cast<unsigned char>(value);
        value >>= BitsPerByte;
    }
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
    return *this;
}

DigestBuilder &DigestBuilder::add(std::string_view text)
{
    add(text.size());
    XXH3_64bits_update(m_state.get(), text.data(), text.size());
    return *this;
}

std::uint64_t DigestBuilder::finish() const
{
    return XXH3_64bits_digest(m_state.get());
}

} // namespace Heatherridge
