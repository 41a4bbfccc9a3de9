#include "heatherridge_protocol/countsreading.h"

#include "heatherridge_protocol/cborvalue.h"

#include <algorithm>
#include <limits>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

/** Steps that growth is told in at the most: two to this power, beyond any count. */
constexpr unsigned LongestShift = 56;
constexpr std::uint64_t MostSteps = std::numeric_limits<std::uint8_t>::max();

CountsReading readingFrom(const json &fields)
{
    CountsReading reading{.epoch = fields.at(0).get<std::uint64_t>(), .mark = fields.at(1).get<std::uint64_t>()};
    if (fields.size() == 3) {
        reading.content = WholeCounts{.chosen = fields.at(2).get<std::vector<std::uint64_t>>()};
        return reading;
    }
    const auto &steps = fields.at(4).get_binary();
    const auto shift = fields.at(3).get<unsigned>();
    reading.content = CountsGrowth{.since = fields.at(2).get<std::uint64_t>(),
                                   .shift = std::min(shift, LongestShift),
                                   .steps = std::vector<std::uint8_t>(steps.begin(), steps.end())};
    return reading;
}

/** The least shift with which the growth from @p told to @p now fits a byte a count. */
unsigned shiftFor(const std::vector<std::uint64_t> &told, const std::vector<std::uint64_t> &now)
{
    std::uint64_t most = 0;
    for (std::size_t index = 0; index < now.size(); ++index) {
        most = std::max(most, now[index] - told[index]);
    }
    unsigned shift = 0;
    while ((most >> shift) > MostSteps) {
        ++shift;
    }
    return shift;
}

} // namespace

std::string encode(const CountsReading &reading)
{
    const auto fields = std::visit(Visitor{[&](const WholeCounts &whole) {
                                               return json::array({reading.epoch, reading.mark, whole.chosen});
                                           },
                                           [&](const CountsGrowth &growth) {
                                               return json::array({reading.epoch, reading.mark, growth.since,
                                                                   growth.shift, json::binary(growth.steps)});
                                           }},
                                   reading.content);
    return cborOf(fields);
}

Result<CountsReading> decodeCountsReading(std::string_view bytes)
{
    return decodedCbor(bytes, readingFrom);
}

CountsTeller::CountsTeller(std::uint64_t firstMark)
    : m_lastMark(firstMark)
{
}

CountsReading CountsTeller::tell(const TargetName &target, const RankCounts &counts, std::uint64_t since)
{
    CountsReading reading{.epoch = counts.epoch, .mark = ++m_lastMark};
    std::vector<std::uint64_t> told(counts.selectionCounts.begin(), counts.selectionCounts.end());
    if (const auto *before = find(target, counts, since)) {
        CountsGrowth growth{.since = since, .shift = shiftFor(before->chosen, told)};
        for (std::size_t index = 0; index < told.size(); ++index) {
            const auto step = (told[index] - before->chosen[index]) >> growth.shift;
            growth.steps.push_back(static_cast<std::uint8_t>(step));
            told[index] = before->chosen[index] + (step << growth.shift);
        }
        reading.content = std::move(growth);
    } else {
        reading.content = WholeCounts{.chosen = told};
    }
    m_told.push_back({.target = target, .epoch = counts.epoch, .mark = reading.mark, .chosen = std::move(told)});
    if (m_told.size() > Remembered) {
        m_told.pop_front();
    }
    return reading;
}

const CountsTeller::Told *CountsTeller::find(const TargetName &target, const RankCounts &counts,
                                             std::uint64_t since) const
{
    const auto found = std::find_if(m_told.begin(), m_told.end(), [&](const auto &told) { return told.mark == since; });
    if (found == m_told.end() || found->target != target || found->epoch != counts.epoch
        || found->chosen.size() != counts.selectionCounts.size()) {
        return nullptr;
    }
    // Fewer than before: the engine has started anew under the name that it had.
    const bool hasGrown = std::equal(found->chosen.begin(), found->chosen.end(), counts.selectionCounts.begin(),
                                     [](auto before, double now) { return static_cast<double>(before) <= now; });
    return hasGrown ? &*found : nullptr;
}

std::uint64_t CountsListener::mark() const
{
    return m_mark;
}

std::optional<RankCounts> CountsListener::take(const CountsReading &reading)
{
    if (const auto *whole = std::get_if<WholeCounts>(&reading.content)) {
        m_counts = {.epoch = reading.epoch, .selectionCounts = {whole->chosen.begin(), whole->chosen.end()}};
        m_mark = reading.mark;
        return m_counts;
    }
    const auto &growth = std::get<CountsGrowth>(reading.content);
    if (growth.since != m_mark || reading.epoch != m_counts.epoch
        || growth.steps.size() != m_counts.selectionCounts.size()) {
        m_mark = 0;
        return std::nullopt;
    }
    for (std::size_t index = 0; index < growth.steps.size(); ++index) {
        m_counts.selectionCounts[index] += static_cast<double>(std::uint64_t{growth.steps[index]} << growth.shift);
    }
    m_mark = reading.mark;
    return m_counts;
}

} // namespace Heatherridge
