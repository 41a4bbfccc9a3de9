#include "heatherridge_state/fold/configimage.h"

#include "heatherridge_state/fold/digestbuilder.h"

namespace Heatherridge
{

namespace
{

void add(DigestBuilder &digest, const DocumentImage &document)
{
    digest.add(toNumber(document.changedAt)).add(toNumber(document.removalsPrunedBelow));
    digest.add(document.sections.size());
    for (const auto &[header, section] : document.sections) {
        digest.add(header).add(section.body).add(toNumber(section.changedAt));
    }
    digest.add(document.removed.size());
    for (const auto &[header, offset] : document.removed) {
        digest.add(header).add(toNumber(offset));
    }
}

void add(DigestBuilder &digest, const OperationOutcome &outcome)
{
    digest.add(outcome.operation.text()).add(toNumber(outcome.decidedAt)).add(outcome.contentHash);
    digest.add(outcome.refusal ? 1 : 0);
    if (outcome.refusal) {
        digest.add(static_cast<std::uint64_t>(outcome.refusal->reason)).add(outcome.refusal->conflictsWith.text());
        digest.add(toNumber(outcome.refusal->conflictOffset)).add(outcome.refusal->detail);
    }
}

} // namespace

Digest digestOf(const ConfigImage &image)
{
    DigestBuilder digest;
    digest.add(toNumber(image.offset));
    add(digest, image.inventory);
    add(digest, image.rules);
    digest.add(image.operations.size());
    for (const auto &outcome : image.operations) {
        add(digest, outcome);
    }
    digest.add(toNumber(image.operationsPrunedBelow)).add(image.roles.size());
    for (const auto &[role, holder] : image.roles) {
        digest.add(role.text()).add(holder.holder.text());
        digest.add(toNumber(holder.incarnation)).add(toNumber(holder.number));
    }
    digest.add(toNumber(image.snapshot.covers)).add(toNumber(image.snapshot.digest));
    for (const auto count : image.skipped) {
        digest.add(count);
    }
    for (const auto count : image.refused) {
        digest.add(count);
    }
    return static_cast<Digest>(digest.finish());
}

} // namespace Heatherridge
