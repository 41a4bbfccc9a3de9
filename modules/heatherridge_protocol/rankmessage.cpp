#include "heatherridge_protocol/rankmessage.h"

#include "heatherridge_protocol/cborvalue.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Heatherridge
{

namespace
{

using nlohmann::json;

json optionalMapNumber(const std::optional<MapNumber> &number)
{
    return number ? json(toNumber(*number)) : json();
}

std::optional<MapNumber> mapNumberFrom(const json &value)
{
    return value.is_null() ? std::nullopt : std::optional(static_cast<MapNumber>(value.get<std::uint64_t>()));
}

/** Number of bytes that encode an expert's number. */
constexpr unsigned OneByteExperts = 1;
constexpr unsigned TwoByteExperts = 2;
/** Error id that the JSON library's exceptions require; not evaluated here. */
constexpr int TruncatedLayoutError = 600;

/** Encodes @p set: for each rank, the number of its experts followed by their numbers. */
std::vector<std::uint8_t> encodeSet(const SetLayout &set, unsigned width)
{
    std::vector<std::uint8_t> bytes;
    for (const auto &experts : set) {
        bytes.push_back(static_cast<std::uint8_t>(experts.size()));
        for (const auto expert : experts) {
            bytes.push_back(static_cast<std::uint8_t>(expert & 0xFFU));
            if (width == TwoByteExperts) {
                bytes.push_back(static_cast<std::uint8_t>(expert >> 8U));
            }
        }
    }
    return bytes;
}

/** Returns whether the number of experts of each rank fits in one byte. */
bool isCompact(const ExpertLayout &layout)
{
    return std::all_of(layout.begin(), layout.end(), [](const auto &set) {
        return std::all_of(set.begin(), set.end(), [](const auto &experts) {
            return experts.size() <= std::numeric_limits<std::uint8_t>::max();
        });
    });
}

unsigned expertNumberBytes(const ExpertLayout &layout)
{
    std::uint16_t highest = 0;
    for (const auto &set : layout) {
        for (const auto &experts : set) {
            highest = std::accumulate(experts.begin(), experts.end(), highest,
                                      [](auto maximum, auto expert) { return std::max(maximum, expert); });
        }
    }
    return highest <= std::numeric_limits<std::uint8_t>::max() ? OneByteExperts : TwoByteExperts;
}

/** Encodes @p layout with one or two bytes per expert, because it is sent to every rank of a group at each map switch.
 */
json encodeLayout(const ExpertLayout &layout)
{
    if (!isCompact(layout)) {
        return layout;
    }
    const auto width = expertNumberBytes(layout);
    json sets = json::array();
    for (const auto &set : layout) {
        sets.push_back(json::binary(encodeSet(set, width)));
    }
    return json::array({width, std::move(sets)});
}

/** Decodes a set. Throws a JSON exception, as for a missing field, if the bytes end within a rank. */
SetLayout decodeSet(const std::vector<std::uint8_t> &bytes, unsigned width)
{
    SetLayout set;
    for (std::size_t position = 0; position < bytes.size();) {
        const std::size_t count = bytes[position++];
        if (bytes.size() - position < count * width) {
            throw json::other_error::create(TruncatedLayoutError, "layout ends within a rank", nullptr);
        }
        auto &experts = set.emplace_back();
        for (std::size_t index = 0; index < count; ++index, position += width) {
            const unsigned high = width == TwoByteExperts ? bytes[position + 1] : 0U;
            experts.push_back(static_cast<std::uint16_t>(bytes[position] | (high << 8U)));
        }
    }
    return set;
}

ExpertLayout decodeLayout(const json &value)
{
    if (value.empty() || !value.front().is_number()) {
        return value.get<ExpertLayout>();
    }
    const auto width = value.at(0).get<unsigned>() == OneByteExperts ? OneByteExperts : TwoByteExperts;
    ExpertLayout layout;
    for (const auto &set : value.at(1)) {
        layout.push_back(decodeSet(set.get_binary(), width));
    }
    return layout;
}

RankOrder decodeOrder(const json &fields)
{
    const auto kind = fields.at(0).get<std::size_t>();
    const auto map = [&] { return static_cast<MapNumber>(fields.at(1).get<std::uint64_t>()); };
    switch (kind) {
    case 0:
        return PrepareMap{.map = map(), .layout = decodeLayout(fields.at(2))};
    case 1:
        return ArmMap{.map = map(), .step = fields.at(2).get<std::uint64_t>()};
    case 2:
        return DisarmMap{.map = map()};
    case 3:
        return HoldStep{.step = fields.at(1).get<std::uint64_t>()};
    default:
        return ReleaseStep{.step = fields.at(1).get<std::uint64_t>()};
    }
}

json encodeOrder(const RankOrder &order)
{
    const auto kind = order.index();
    return std::visit(Visitor{[kind](const PrepareMap &prepare) {
                                  return json::array({kind, toNumber(prepare.map), encodeLayout(prepare.layout)});
                              },
                              [kind](const ArmMap &arm) {
                                  return json::array({kind, toNumber(arm.map), arm.step});
                              },
                              [kind](const DisarmMap &disarm) {
                                  return json::array({kind, toNumber(disarm.map)});
                              },
                              [kind](const HoldStep &hold) {
                                  return json::array({kind, hold.step});
                              },
                              [kind](const ReleaseStep &release) {
                                  return json::array({kind, release.step});
                              }},
                      order);
}

} // namespace

std::string encode(const RankStatus &status)
{
    return encodeCbor(
        json::array({status.group.text(), status.epoch, status.rank, status.size, status.isOpen, status.step,
                     toNumber(status.map), optionalMapNumber(status.prepared), optionalMapNumber(status.armed),
                     status.heldStep ? json(*status.heldStep) : json(), status.running, status.waiting, status.slowdown,
                     status.countsLastPolledAgo ? json(status.countsLastPolledAgo->count()) : json()}));
}

std::string encode(const RankExperts &experts)
{
    return encodeCbor(json::array({toNumber(experts.map), experts.bySet}));
}

std::string encode(const RankOrderMessage &message)
{
    return encodeCbor(json::array({message.target.text(), message.epoch, encodeOrder(message.order)}));
}

std::string encode(OrderReply reply)
{
    return encodeCbor(json(static_cast<int>(reply)));
}

Result<RankStatus> decodeRankStatus(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &fields) {
        RankStatus status{.group = GroupName(fields.at(0).get<std::string>()),
                          .epoch = fields.at(1).get<std::uint64_t>(),
                          .rank = fields.at(2).get<int>(),
                          .size = fields.at(3).get<int>(),
                          .isOpen = fields.at(4).get<bool>(),
                          .step = fields.at(5).get<std::uint64_t>(),
                          .map = static_cast<MapNumber>(fields.at(6).get<std::uint64_t>()),
                          .prepared = mapNumberFrom(fields.at(7)),
                          .armed = mapNumberFrom(fields.at(8)),
                          .running = fields.at(10).get<int>(),
                          .waiting = fields.at(11).get<int>(),
                          .slowdown = fields.at(12).get<double>()};
        if (!fields.at(13).is_null()) {
            status.countsLastPolledAgo = std::chrono::milliseconds(fields.at(13).get<std::int64_t>());
        }
        if (!fields.at(9).is_null()) {
            status.heldStep = fields.at(9).get<std::uint64_t>();
        }
        return status;
    });
}

Result<RankExperts> decodeRankExperts(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &fields) {
        return RankExperts{.map = static_cast<MapNumber>(fields.at(0).get<std::uint64_t>()),
                           .bySet = fields.at(1).get<std::vector<std::vector<std::uint16_t>>>()};
    });
}

Result<RankOrderMessage> decodeRankOrder(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &fields) {
        return RankOrderMessage{.target = TargetName(fields.at(0).get<std::string>()),
                                .epoch = fields.at(1).get<std::uint64_t>(),
                                .order = decodeOrder(fields.at(2))};
    });
}

Result<OrderReply> decodeOrderReply(std::string_view bytes)
{
    return decodeCbor(bytes, [](const json &value) {
        const auto number = value.get<int>();
        // An unknown value, sent by a later version, counts as no answer.
        return number == static_cast<int>(OrderReply::Accepted) || number == static_cast<int>(OrderReply::Refused)
            ? static_cast<OrderReply>(number)
            : OrderReply::NoAnswer;
    });
}

} // namespace Heatherridge
