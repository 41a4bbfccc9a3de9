#pragma once

#include "standin.h"

#include <chrono>
#include <memory>

namespace Heatherridge
{

/**
 * The store for model weights, whose rate is shared by all that load from it.
 *
 * `GET /weights/MODEL/LAYER/EXPERT?bytes=N` answers N bytes that depend on the path alone.
 */
class WeightStandIn final : public StandIn
{
public:
    /** A store at its full rate. */
    explicit WeightStandIn(EventLoop &loop);

protected:
    void serve(const std::shared_ptr<HttpExchange> &exchange) override;

private:
    struct Transfer
    {
        std::shared_ptr<HttpExchange> exchange{};
        char fill = 0;
        std::size_t remainingBytes = 0; // bytes not yet sent
    };

    void sendChunk(const std::shared_ptr<Transfer> &transfer);

    std::chrono::steady_clock::time_point m_nextChunkTime{}; // when the rate allows one more
};

} // namespace Heatherridge
