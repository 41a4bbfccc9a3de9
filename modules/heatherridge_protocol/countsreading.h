#pragma once

#include "heatherridge_state/base/result.h"
#include "heatherridge_state/groups/rankvalues.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Heatherridge
{

/** All counts of a rank. */
struct WholeCounts
{
    std::vector<std::uint64_t> chosen{}; ///< set by set

    bool operator==(const WholeCounts &) const = default;
};

/** By how much the counts of a rank have grown since an earlier reading, one byte a count. */
struct CountsGrowth
{
    std::uint64_t since = 0; ///< the mark of the earlier reading
    unsigned shift = 0; ///< growth is told in steps of two to this power
    std::vector<std::uint8_t> steps{}; ///< set by set

    bool operator==(const CountsGrowth &) const = default;
};

/** The answer to a question for counts. */
struct CountsReading
{
    std::uint64_t epoch = 0;
    std::uint64_t mark = 0; ///< names this reading; told with the next question
    std::variant<WholeCounts, CountsGrowth> content{};

    bool operator==(const CountsReading &) const = default;
};

/** The CBOR of @p reading. */
std::string encode(const CountsReading &reading);

/** Reads a reading. Anything else yields MalformedFrame. */
Result<CountsReading> decodeCountsReading(std::string_view bytes);

/**
 * What the process beside a rank has told of its counts, so that it need only tell how much they have grown.
 *
 * A rank of a large model has thousands of counts. Told in whole several times a second by hundreds of ranks they fill
 * the link of who asks, and its traffic waits behind them. Growth since the last question fits a byte a count: larger
 * growth is told in steps, and what a step leaves out counts as not told, so that it comes with the next question and
 * nothing is ever lost. One thread.
 */
class CountsTeller
{
public:
    /** Readings that can be told growth since: those under way to several keepers. */
    static constexpr std::size_t Remembered = 8;

    /** @param firstMark drawn at random, so that marks of an earlier run of this process are not known to this one */
    explicit CountsTeller(std::uint64_t firstMark);

    /**
     * What to answer when the rank @p target has @p counts.
     * @param since the mark of the last reading that who asks has; 0 for none
     */
    CountsReading tell(const TargetName &target, const RankCounts &counts, std::uint64_t since);

private:
    struct Told
    {
        TargetName target{};
        std::uint64_t epoch = 0;
        std::uint64_t mark = 0;
        std::vector<std::uint64_t> chosen{}; ///< as who asked can know them
    };

    const Told *find(const TargetName &target, const RankCounts &counts, std::uint64_t since) const;

    std::uint64_t m_lastMark;
    std::deque<Told> m_told; ///< the newest last
};

/** The other side of a CountsTeller: puts readings of one rank together. One thread. */
class CountsListener
{
public:
    /** The mark to ask with. 0 asks for all counts. */
    std::uint64_t mark() const;

    /** Takes @p reading. @returns the counts as told so far; nothing when it adds to a reading that is not the last one
     */
    std::optional<RankCounts> take(const CountsReading &reading);

private:
    std::uint64_t m_mark = 0;
    RankCounts m_counts;
};

} // namespace Heatherridge
