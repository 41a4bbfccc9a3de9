#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/app/configview.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/** Encodes outgoing frames with the name, incarnation and configuration offset of this process. Not thread-safe. */
class FrameEncoder
{
public:
    /** Encodes frames of @p process and @p incarnation; @p view returns the configuration currently in force. */
    FrameEncoder(ProcessName process, Incarnation incarnation, std::function<std::shared_ptr<const ConfigView>()> view)
        : m_process(std::move(process))
        , m_incarnation(incarnation)
        , m_view(std::move(view))
    {
    }

    /** Returns the frame that carries @p payload on @p channel. */
    Bytes frame(Channel channel, Bytes payload) const
    {
        return encode(Envelope{.channel = channel,
                               .sender = m_process,
                               .incarnation = m_incarnation,
                               .offset = m_view()->offset,
                               .payload = std::move(payload)});
    }

    /** Returns the frame that carries @p message on the traffic channel. */
    Bytes frame(const TrafficMessage &message) const
    {
        return frame(Channel::Traffic, encode(message));
    }

private:
    ProcessName m_process;
    Incarnation m_incarnation;
    std::function<std::shared_ptr<const ConfigView>()> m_view;
};

/** Size limit for frames between processes: a body of the maximum size plus its metadata. */
inline constexpr std::size_t MaxFrameBytes = 8UL << 20U;

} // namespace Heatherridge
