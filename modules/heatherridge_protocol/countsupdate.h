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
struct FullCounts
{
    std::vector<std::uint64_t> counts{}; ///< set by set

    bool operator==(const FullCounts &) const = default;
};

/** By how much the counts of a rank have grown since an earlier reading, one byte a count. */
struct CountsDelta
{
    std::uint64_t baseId = 0; ///< the mark of the earlier reading
    unsigned shift = 0; ///< growth is told in steps of two to this power
    std::vector<std::uint8_t> steps{}; ///< set by set

    bool operator==(const CountsDelta &) const = default;
};

/** The answer to a question for counts. */
struct CountsUpdate
{
    std::uint64_t epoch = 0;
    std::uint64_t id = 0; ///< names this reading; told with the next question
    std::variant<FullCounts, CountsDelta> content{};

    bool operator==(const CountsUpdate &) const = default;
};

/** The CBOR of @p reading. */
std::string encode(const CountsUpdate &update);

/** Reads a reading. Anything else yields MalformedFrame. */
Result<CountsUpdate> decodeCountsUpdate(std::string_view bytes);

/**
 * What the process beside a rank has told of its counts, so that it need only tell how much they have grown.
 *
 * A rank of a large model has thousands of counts. Told in whole several times a second by hundreds of ranks they fill
 * the link of who asks, and its traffic waits behind them. Growth since the last question fits a byte a count: larger
 * growth is told in steps, and what a step leaves out counts as not told, so that it comes with the next question and
 * nothing is ever lost. One thread.
 */
class CountsDeltaEncoder
{
public:
    /** Readings that can be told growth since: those under way to several keepers. */
    static constexpr std::size_t MaxHistory = 8;

    /** @param firstMark drawn at random, so that marks of an earlier run of this process are not known to this one */
    explicit CountsDeltaEncoder(std::uint64_t firstId);

    /**
     * What to answer when the rank @p target has @p counts.
     * @param since the mark of the last reading that who asks has; 0 for none
     */
    CountsUpdate createUpdate(const TargetName &target, const RankCounts &counts, std::uint64_t baseId);

private:
    struct SentUpdate
    {
        TargetName target{};
        std::uint64_t epoch = 0;
        std::uint64_t id = 0;
        std::vector<std::uint64_t> counts{}; ///< as who asked can know them
    };

    const SentUpdate *find(const TargetName &target, const RankCounts &counts, std::uint64_t baseId) const;

    std::uint64_t m_lastId;
    std::deque<SentUpdate> m_history; ///< the newest last
};

/** The other side of a CountsDeltaEncoder: puts readings of one rank together. One thread. */
class CountsDeltaDecoder
{
public:
    /** The mark to ask with. 0 asks for all counts. */
    std::uint64_t lastId() const;

    /** Takes @p reading. @returns the counts as told so far; nothing when it adds to a reading that is not the last one
     */
    std::optional<RankCounts> apply(const CountsUpdate &update);

private:
    std::uint64_t m_lastAppliedId = 0;
    RankCounts m_counts;
};

} // namespace Heatherridge
