#include "weightstandin.h"

#include <algorithm>
#include <functional>

namespace Heatherridge
{

namespace
{

constexpr std::size_t ChunkBytes = 256UL << 10U;
constexpr long long MaxTransferBytes = 64LL << 20U;
constexpr long long MicrosecondsPerSecond = 1'000'000;

} // namespace

WeightStandIn::WeightStandIn(EventLoop &loop)
    : StandIn(loop,
              {{.name = "bytes-per-s", .value = 200'000'000, .summary = "total rate of the store in bytes per second"},
               {.name = "out", .value = 0, .summary = "1: every request is answered 503 at once"}})
{
}

void WeightStandIn::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    const auto parts = pathParts(request.path);
    if (switchValue("out") != 0) {
        respondError(*exchange, 503, "the weight store is unavailable");
        return;
    }
    if (parts.size() != 4 || parts[0] != "weights" || request.method != "GET") {
        respondError(*exchange, 404, "the weight store serves /weights/MODEL/LAYER/EXPERT");
        return;
    }
    const auto bytes = std::min(MaxTransferBytes, queryNumber(request, "bytes", 1LL << 20U));
    const auto transfer = std::make_shared<Transfer>();
    transfer->exchange = exchange;
    transfer->fill = static_cast<char>('a' + std::hash<std::string>{}(request.path) % 26);
    transfer->remainingBytes = static_cast<std::size_t>(bytes);
    count("loads");
    count("bytes", static_cast<std::uint64_t>(bytes));
    exchange->beginStream(200, {{.name = "Content-Type", .value = "application/octet-stream"}});
    sendChunk(transfer);
}

void WeightStandIn::sendChunk(const std::shared_ptr<Transfer> &transfer)
{
    if (transfer->remainingBytes == 0) {
        transfer->exchange->end();
        return;
    }
    const auto bytes = std::min(ChunkBytes, transfer->remainingBytes);
    const auto rate = std::max(1LL, switchValue("bytes-per-s"));
    const auto now = std::chrono::steady_clock::now();
    m_nextChunkTime = std::max(now, m_nextChunkTime)
        + std::chrono::microseconds(static_cast<long long>(bytes) * MicrosecondsPerSecond / rate);
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(m_nextChunkTime - now);
    loop().after(wait, [this, transfer, bytes] {
        transfer->remainingBytes -= bytes;
        transfer->exchange->write(std::string(bytes, transfer->fill), [this, transfer](bool sent) {
            if (sent) {
                loop().post([this, transfer] { sendChunk(transfer); });
            }
        });
    });
}

} // namespace Heatherridge
