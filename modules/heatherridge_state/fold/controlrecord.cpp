#include "heatherridge_state/fold/controlrecord.h"

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/fold/digestbuilder.h"

#include <array>

namespace Heatherridge
{

namespace
{

constexpr std::array<std::string_view, 2> DocumentNames{"inventory", "rules"};
constexpr std::array<std::string_view, SkipReasonCount> SkipNames{"malformed", "oversized", "unknown-version",
                                                                  "doubled", "operation-reused"};
constexpr std::array<std::string_view, RefusalReasonCount> RefusalNames{
    "conflict", "invalid-content", "based-on-future", "basis-too-old", "role-taken"};

void add(DigestBuilder &digest, const DocumentContent &content)
{
    digest.add(content.index());
    std::visit(Visitor{[&digest](const WholeDocument &whole) { digest.add(whole.text); },
                       [&digest](const DocumentChange &change) {
                           digest.add(change.put);
                           digest.add(change.removed.size());
                           for (const auto &header : change.removed) {
                               digest.add(header);
                           }
                       }},
               content);
}

} // namespace

std::string_view toString(DocumentKind kind)
{
    return DocumentNames.at(static_cast<std::size_t>(kind));
}

std::string_view toString(SkipReason reason)
{
    return SkipNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(RefusalReason reason)
{
    return RefusalNames.at(static_cast<std::size_t>(reason));
}

std::uint64_t contentHash(const Publish &publish)
{
    DigestBuilder digest;
    digest.add("publish").add(static_cast<std::uint64_t>(publish.document)).add(toNumber(publish.basedOn));
    add(digest, publish.content);
    return digest.finish();
}

std::uint64_t contentHash(const ResetFold &reset)
{
    DigestBuilder digest;
    return digest.add("reset").add(toNumber(reset.basedOn)).add(reset.inventory).add(reset.rules).finish();
}

} // namespace Heatherridge
