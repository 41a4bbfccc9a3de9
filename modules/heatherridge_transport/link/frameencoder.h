#pragma once

#include "heatherridge_protocol/heatherridge_protocol.h"
#include "heatherridge_transport/app/configview.h"

#include <functional>
#include <memory>

namespace Heatherridge
{

/** Puts this process's name, run and offset on each frame that it sends. One thread. */
class FrameEncoder
{
public:
    /** Frames of @p process in its run @p incarnation; @p view yields the configuration in force when asked. */
    FrameEncoder(ProcessName process, Incarnation incarnation, std::function<std::shared_ptr<const ConfigView>()> view)
        : m_process(std::move(process))
        , m_incarnation(incarnation)
        , m_view(std::move(view))
    {
    }

    /** The frame that carries @p payload on @p channel. */
    Bytes frame(Channel channel, Bytes payload) const
    {
        return encode(Envelope{.channel = channel,
                               .sender = m_process,
                               .incarnation = m_incarnation,
                               .offset = m_view()->offset,
                               .payload = std::move(payload)});
    }

    /** The frame that carries @p message. */
    Bytes frame(const TrafficMessage &message) const
    {
        return frame(Channel::Traffic, encode(message));
    }

private:
    ProcessName m_process;
    Incarnation m_incarnation;
    std::function<std::shared_ptr<const ConfigView>()> m_view;
};

/** Longest frame between processes, in bytes: a body of the longest kind and what goes with it. */
inline constexpr std::size_t MaxFrameBytes = 8UL << 20U;

} // namespace Heatherridge
