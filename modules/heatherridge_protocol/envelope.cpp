#include "heatherridge_protocol/envelope.h"

#include "heatherridge_protocol/cborreader.h"

namespace Heatherridge
{

Bytes encode(const Envelope &envelope)
{
    return toCbor({{"v", envelope.version},
                   {"c", static_cast<unsigned>(envelope.channel)},
                   {"s", envelope.sender.text()},
                   {"i", toNumber(envelope.incarnation)},
                   {"o", toNumber(envelope.offset)},
                   {"p", binary(envelope.payload)}});
}

Result<Envelope> decodeEnvelope(const Bytes &frame)
{
    nlohmann::json map;
    if (!CborReader::parse(frame, map)) {
        return malformedError("no CBOR map");
    }
    CborReader reader(map);
    Envelope envelope;
    envelope.version = static_cast<int>(reader.number("v", INT32_MAX));
    const auto channel = reader.number("c", static_cast<std::uint64_t>(Channel::Group));
    envelope.channel = static_cast<Channel>(channel);
    envelope.sender = ProcessName(reader.text("s"));
    envelope.incarnation = static_cast<Incarnation>(reader.number("i"));
    envelope.offset = static_cast<LogOffset>(reader.number("o"));
    envelope.payload = reader.bytes("p");
    if (!reader.ok() || channel == 0) {
        return malformedError("envelope field " + reader.failedKey());
    }
    if (envelope.version != Envelope::CurrentVersion) {
        return malformedError("protocol version " + std::to_string(envelope.version));
    }
    return envelope;
}

} // namespace Heatherridge
