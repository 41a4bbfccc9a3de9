#include "heatherridge_protocol/countsupdate.h"

#include "heatherridge_protocol/cborvalue.h"

#include <algorithm>
#include <limits>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** Upper bound of CountsDelta::shift; two to the power of this exceeds any count. */
constexpr unsigned MaxShift = 56;
constexpr std::uint64_t MaxSteps = std::numeric_limits<std::uint8_t>::max();

CountsUpdate updateFrom(const json &fields)
{
    CountsUpdate update{.epoch = fields.at(0).get<std::uint64_t>(), .id = fields.at(1).get<std::uint64_t>()};
    if (fields.size() == 3) {
        update.content = FullCounts{.counts = fields.at(2).get<std::vector<std::uint64_t>>()};
        return update;
    }
    const auto &steps = fields.at(4).get_binary();
    const auto shift = fields.at(3).get<unsigned>();
    update.content = CountsDelta{.baseId = fields.at(2).get<std::uint64_t>(),
                                 .shift = std::min(shift, MaxShift),
                                 .steps = std::vector<std::uint8_t>(steps.begin(), steps.end())};
    return update;
}

/** Returns the smallest shift with which each increase from @p sentCounts to @p now fits in one byte. */
unsigned shiftFor(const std::vector<std::uint64_t> &sentCounts, const std::vector<std::uint64_t> &now)
{
    std::uint64_t maxGrowth = 0;
    for (std::size_t index = 0; index < now.size(); ++index) {
        maxGrowth = std::max(maxGrowth, now[index] - sentCounts[index]);
    }
    unsigned shift = 0;
    while ((maxGrowth >> shift) > MaxSteps) {
        ++shift;
    }
    return shift;
}

} // namespace

std::string encode(const CountsUpdate &update)
{
    const auto fields = std::visit(
        Visitor{
            [&](const FullCounts &whole) {
                return json::array({update.epoch, update.id, whole.counts});
            },
            [&](const CountsDelta &growth) {
                return json::array({update.epoch, update.id, growth.baseId, growth.shift, json::binary(growth.steps)});
            }},
        update.content);
    return encodeCbor(fields);
}

Result<CountsUpdate> decodeCountsUpdate(std::string_view bytes)
{
    return decodeCbor(bytes, updateFrom);
}

CountsDeltaEncoder::CountsDeltaEncoder(std::uint64_t firstId)
    : m_lastId(firstId)
{
}

CountsUpdate CountsDeltaEncoder::createUpdate(const TargetName &target, const RankCounts &counts, std::uint64_t baseId)
{
    CountsUpdate update{.epoch = counts.epoch, .id = ++m_lastId};
    std::vector<std::uint64_t> sentCounts(counts.selectionCounts.begin(), counts.selectionCounts.end());
    if (const auto *before = find(target, counts, baseId)) {
        CountsDelta growth{.baseId = baseId, .shift = shiftFor(before->counts, sentCounts)};
        for (std::size_t index = 0; index < sentCounts.size(); ++index) {
            const auto step = (sentCounts[index] - before->counts[index]) >> growth.shift;
            growth.steps.push_back(static_cast<std::uint8_t>(step));
            sentCounts[index] = before->counts[index] + (step << growth.shift);
        }
        update.content = std::move(growth);
    } else {
        update.content = FullCounts{.counts = sentCounts};
    }
    m_history.push_back({.target = target, .epoch = counts.epoch, .id = update.id, .counts = std::move(sentCounts)});
    if (m_history.size() > MaxHistory) {
        m_history.pop_front();
    }
    return update;
}

const CountsDeltaEncoder::SentUpdate *CountsDeltaEncoder::find(const TargetName &target, const RankCounts &counts,
                                                               std::uint64_t baseId) const
{
    const auto found = std::find_if(m_history.begin(), m_history.end(),
                                    [&](const auto &sentUpdate) { return sentUpdate.id == baseId; });
    if (found == m_history.end() || found->target != target || found->epoch != counts.epoch
        || found->counts.size() != counts.selectionCounts.size()) {
        return nullptr;
    }
    // Lower counts than before: the engine has restarted under the same name.
    const bool hasGrown = std::equal(found->counts.begin(), found->counts.end(), counts.selectionCounts.begin(),
                                     [](auto before, double now) { return static_cast<double>(before) <= now; });
    return hasGrown ? &*found : nullptr;
}

std::uint64_t CountsDeltaDecoder::lastId() const
{
    return m_lastAppliedId;
}

std::optional<RankCounts> CountsDeltaDecoder::apply(const CountsUpdate &update)
{
    if (const auto *whole = std::get_if<FullCounts>(&update.content)) {
        m_counts = {.epoch = update.epoch, .selectionCounts = {whole->counts.begin(), whole->counts.end()}};
        m_lastAppliedId = update.id;
        return m_counts;
    }
    const auto &growth = std::get<CountsDelta>(update.content);
    if (growth.baseId != m_lastAppliedId || update.epoch != m_counts.epoch
        || growth.steps.size() != m_counts.selectionCounts.size()) {
        m_lastAppliedId = 0;
        return std::nullopt;
    }
    for (std::size_t index = 0; index < growth.steps.size(); ++index) {
        m_counts.selectionCounts[index] += static_cast<double>(std::uint64_t{growth.steps[index]} << growth.shift);
    }
    m_lastAppliedId = update.id;
    return m_counts;
}

} // namespace Heatherridge
