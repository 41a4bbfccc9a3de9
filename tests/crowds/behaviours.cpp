#include "crowds/behaviours.h"

namespace Heatherridge
{

namespace
{

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;
/** A little less than the parser library accepts in one head. */
constexpr std::size_t LargeHeadBytes = 79 * Kibibyte;
constexpr std::size_t BodyBytes = 4 * Mebibyte;

} // namespace

std::string shortHeaders(std::size_t bytes)
{
    constexpr std::string_view header = "a:\r\n";
    std::string headers;
    headers.reserve(bytes);
    while (headers.size() + header.size() <= bytes) {
        headers += header;
    }
    return headers;
}

std::vector<CrowdBehaviour> requestBehaviours(const std::string &line, int connections)
{
    const auto head = line + "\r\nHost: h\r\n";
    const auto chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {.name = "HeadsOfManyHeaders", .connections = connections, .opening = head + shortHeaders(LargeHeadBytes)},
        {.name = "HeadersWithoutEnd",
         .connections = connections,
         .opening = head,
         .repeated = shortHeaders(Kibibyte),
         .repeatedBytes = Mebibyte,
         .reconnects = 3},
        {.name = "HeaderWithoutEnd",
         .connections = connections,
         .opening = head + "X-Note: ",
         .repeated = std::string(Kibibyte, 'x'),
         .repeatedBytes = Mebibyte,
         .reconnects = 3},
        {.name = "TargetWithoutEnd",
         .connections = connections,
         .opening = line.substr(0, line.rfind(' ')),
         .repeated = std::string(Kibibyte, 'x'),
         .repeatedBytes = Mebibyte,
         .reconnects = 3},
        {.name = "BlankLinesWithoutEnd",
         .connections = connections,
         .repeated = "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
         .repeatedBytes = Mebibyte / 4},
        {.name = "BlankLinesAfterARequest",
         .connections = connections,
         .opening = head + "\r\n",
         .repeated = "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
         .repeatedBytes = Mebibyte / 4},
        {.name = "Bodies",
         .connections = connections,
         .opening = head + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n",
         .repeated = std::string(Kibibyte, 'x'),
         .repeatedBytes = BodyBytes - 1},
        {.name = "ChunksWithoutEnd",
         .connections = connections,
         .opening = chunkedHead,
         .repeated = "400\r\n" + std::string(Kibibyte, 'x') + "\r\n",
         .repeatedBytes = 2 * BodyBytes},
        {.name = "ChunkExtensionsWithoutEnd",
         .connections = connections,
         .opening = chunkedHead + "1;",
         .repeated = std::string(Kibibyte, 'x'),
         .repeatedBytes = Mebibyte},
        {.name = "TrailersWithoutEnd",
         .connections = connections,
         .opening = chunkedHead + "0\r\n",
         .repeated = shortHeaders(Kibibyte),
         .repeatedBytes = LargeHeadBytes},
        {.name = "AnswersNeverRead",
         .connections = connections,
         .repeated = head + "\r\n",
         .repeatedBytes = 2 * Mebibyte},
    };
}

std::vector<CrowdBehaviour> silentBehaviours(const std::string &line, int connections)
{
    return {
        {.name = "Silence", .connections = connections},
        {.name = "HalfAHead", .connections = connections, .opening = line + "\r\nHost: h\r\nX-No"},
    };
}

std::string behaviourName(const testing::TestParamInfo<CrowdBehaviour> &row)
{
    return row.param.name;
}

} // namespace Heatherridge
