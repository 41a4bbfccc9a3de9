#pragma once

#include "standin.h"

#include <chrono>
#include <memory>

namespace Heatherridge
{

/**
 * The store of model weights; all concurrent loads share its rate.
 *
 * `GET /weights/MODEL/LAYER/EXPERT?bytes=N` returns N bytes that depend on the path alone.
 */
class WeightStandIn final : public StandIn
{
public:
    /** Creates a store with the default rate. */
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

    std::chrono::steady_clock::time_point m_nextChunkTime{}; // earliest time at which the rate allows another chunk
};

} // namespace Heatherridge
