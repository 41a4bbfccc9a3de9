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

/** The complete counts of a rank. */
struct FullCounts
{
    std::vector<std::uint64_t> counts{}; ///< ordered by layer set

    bool operator==(const FullCounts &) const = default;
};

/** The increase of a rank's counts since an earlier update, one byte per count. */
struct CountsDelta
{
    std::uint64_t baseId = 0; ///< id of the earlier update
    unsigned shift = 0; ///< each step stands for an increase of two to the power of this
    std::vector<std::uint8_t> steps{}; ///< ordered by layer set

    bool operator==(const CountsDelta &) const = default;
};

/** The response to a request for a rank's counts. */
struct CountsUpdate
{
    std::uint64_t epoch = 0;
    std::uint64_t id = 0; ///< identifies this update; sent as base id with the next request
    std::variant<FullCounts, CountsDelta> content{};

    bool operator==(const CountsUpdate &) const = default;
};

/** Encodes @p update as CBOR. */
std::string encode(const CountsUpdate &update);

/** Decodes an update. Invalid input yields MalformedFrame. */
Result<CountsUpdate> decodeCountsUpdate(std::string_view bytes);

/**
 * Encodes the counts of ranks as increases since an earlier update. Used by the sidecar process of a rank.
 *
 * A rank of a large model has thousands of counts. If hundreds of ranks sent all of them several times a second, they
 * would saturate the requester's link and delay its other traffic. The increase since the last request takes one byte
 * per count. A larger increase is quantized to steps; the remainder counts as not yet sent and is included in the next
 * update, so that errors do not accumulate. Not thread-safe.
 */
class CountsDeltaEncoder
{
public:
    /** Number of previous updates kept as a base for increases; several group keepers may have requests in flight. */
    static constexpr std::size_t MaxHistory = 8;

    /** @param firstId a random number, so that ids issued by an earlier run of this process are not recognized by this
     * one */
    explicit CountsDeltaEncoder(std::uint64_t firstId);

    /**
     * Returns the update to send when the rank @p target has @p counts.
     * @param baseId id of the last update that the requester has applied; 0 if there is none
     */
    CountsUpdate createUpdate(const TargetName &target, const RankCounts &counts, std::uint64_t baseId);

private:
    struct SentUpdate
    {
        TargetName target{};
        std::uint64_t epoch = 0;
        std::uint64_t id = 0;
        std::vector<std::uint64_t> counts{}; ///< as the requester reconstructs them
    };

    const SentUpdate *find(const TargetName &target, const RankCounts &counts, std::uint64_t baseId) const;

    std::uint64_t m_lastId;
    std::deque<SentUpdate> m_history; ///< in order of creation
};

/** Counterpart of CountsDeltaEncoder: reconstructs the counts of one rank from its updates. Not thread-safe. */
class CountsDeltaDecoder
{
public:
    /** Returns the id to send with the next request. 0 requests the complete counts. */
    std::uint64_t lastId() const;

    /** Applies @p update. @returns the counts after it, or nothing if it is based on another update than the last one
     * applied; the next request is then one for the complete counts. */
    std::optional<RankCounts> apply(const CountsUpdate &update);

private:
    std::uint64_t m_lastAppliedId = 0;
    RankCounts m_counts;
};

} // namespace Heatherridge
