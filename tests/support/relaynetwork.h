#pragma once

#include "heatherridge_coordination/config/configagent.h"
#include "support/fakelog.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Heatherridge
{

/** Number and size of the frames that a node has sent or received. */
struct TrafficCount
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/**
 * Simulates processes that run the real agents, connected by in-memory links on virtual time. Frames pass through the
 * real codecs.
 *
 * Faults: a paused node neither runs nor responds but keeps its connections; a killed node loses them; two groups of
 * nodes can be partitioned; messages can be duplicated. Not thread-safe.
 */
class RelayNetwork
{
public:
    struct Node
    {
        class Links final : public RelayLinks
        {
        public:
            Links(RelayNetwork &network, Node &node)
                : m_network(network)
                , m_node(node)
            {
            }

            void connect(const ProcessName &process, const Endpoint & /*endpoint*/) override
            {
                m_network.connect(m_node, process);
            }

            void disconnect(const ProcessName &process) override
            {
                m_network.disconnect(m_node, process);
            }

            void send(const ProcessName &process, const ControlMessage &message) override
            {
                m_network.send(m_node, process, message);
            }

        private:
            RelayNetwork &m_network;
            Node &m_node;
        };

        Node(RelayNetwork &network, LogService &log, std::uint64_t seed, ConfigAgentOptions options)
            : name(options.process)
            , incarnation(static_cast<Incarnation>(seed))
            , random(seed)
            , links(network, *this)
            , agent(log, links, random, std::move(options))
        {
        }

        ProcessName name;
        Incarnation incarnation;
        SeededRandom random;
        Links links;
        ConfigAgent agent;
        TrafficCount sent;
        TrafficCount received;
        std::set<ProcessName> outgoing; ///< open connections
        std::set<ProcessName> incoming;
        bool isPaused = false;
    };

    /** Returns whether frames can pass between two processes; by default always true. */
    std::function<bool(const ProcessName &, const ProcessName &)> canDeliver = [](const auto &, const auto &) {
        return true;
    };
    std::chrono::microseconds delay{500};
    bool duplicateMessages = false;

    /** Starts a process that accesses the log through @p log. */
    Node &add(LogService &log, ConfigAgentOptions options)
    {
        const auto name = options.process;
        auto &node = m_nodes[name];
        node = std::make_unique<Node>(*this, log, ++m_seed, std::move(options));
        return *node;
    }

    void kill(const ProcessName &name)
    {
        const auto node = m_nodes.extract(name);
        for (auto &[other, rest] : m_nodes) {
            if (rest->outgoing.erase(name) > 0) {
                rest->agent.relay().linkDown(name, LinkDirection::Outgoing, m_now);
            }
            if (rest->incoming.erase(name) > 0) {
                rest->agent.relay().linkDown(name, LinkDirection::Incoming, m_now);
            }
        }
    }

    Node &node(const ProcessName &name)
    {
        return *m_nodes.at(name);
    }

    std::map<ProcessName, std::unique_ptr<Node>> &nodes()
    {
        return m_nodes;
    }

    SteadyTime now() const
    {
        return m_now;
    }

    /** Advances the time by @p duration; the agents tick every @p step, and @p onStep is called after each step. */
    void run(std::chrono::milliseconds duration, std::chrono::milliseconds step,
             const std::function<void()> &onStep = {})
    {
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            for (auto &[name, node] : m_nodes) {
                if (!node->isPaused) {
                    node->agent.tick(m_now);
                }
            }
            deliverUntil(m_now + step);
            if (onStep) {
                onStep();
            }
        }
    }

private:
    struct Event
    {
        SteadyTime due;
        std::uint64_t sequence;
        std::function<void()> call;

        bool operator>(const Event &other) const
        {
            return std::pair(due, sequence) > std::pair(other.due, other.sequence);
        }
    };

    void schedule(std::function<void()> call)
    {
        m_events.push({m_now + delay, ++m_sequence, std::move(call)});
    }

    void deliverUntil(SteadyTime end)
    {
        const auto begin = m_now;
        while (!m_events.empty() && m_events.top().due <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = std::max(begin, event.due);
            event.call();
        }
        m_now = begin;
    }

    void connect(Node &from, const ProcessName &to)
    {
        schedule([this, fromName = from.name, to] {
            const auto source = m_nodes.find(fromName);
            const auto target = m_nodes.find(to);
            if (source == m_nodes.end()) {
                return;
            }
            const bool isReachable = target != m_nodes.end() && canDeliver(fromName, to);
            if (!isReachable || !target->second->agent.relay().linkUp(fromName, LinkDirection::Incoming, m_now)) {
                source->second->agent.relay().linkDown(to, LinkDirection::Outgoing, m_now);
                return;
            }
            target->second->incoming.insert(fromName);
            if (source->second->agent.relay().linkUp(to, LinkDirection::Outgoing, m_now)) {
                source->second->outgoing.insert(to);
            } else {
                disconnect(*source->second, to);
            }
        });
    }

    void disconnect(Node &from, const ProcessName &to)
    {
        from.outgoing.erase(to);
        schedule([this, fromName = from.name, to] {
            const auto target = m_nodes.find(to);
            if (target != m_nodes.end() && target->second->incoming.erase(fromName) > 0) {
                target->second->agent.relay().linkDown(fromName, LinkDirection::Incoming, m_now);
            }
        });
    }

    void send(Node &from, const ProcessName &to, const ControlMessage &message)
    {
        if (!from.outgoing.contains(to) && !from.incoming.contains(to)) {
            return;
        }
        auto frame = encode(Envelope{.channel = Channel::Control,
                                     .sender = from.name,
                                     .incarnation = from.incarnation,
                                     .offset = from.agent.replica().state().offset(),
                                     .payload = encodeControlMessage(message)});
        ++from.sent.messages;
        from.sent.bytes += frame.size();
        for (int copy = 0; copy < (duplicateMessages ? 2 : 1); ++copy) {
            schedule([this, fromName = from.name, to, frame] { deliver(fromName, to, frame); });
        }
    }

    void deliver(const ProcessName &from, const ProcessName &to, const Bytes &frame)
    {
        const auto target = m_nodes.find(to);
        if (target == m_nodes.end() || target->second->isPaused || !canDeliver(from, to)) {
            return;
        }
        auto &node = *target->second;
        ++node.received.messages;
        node.received.bytes += frame.size();
        const auto envelope = decodeEnvelope(frame);
        const auto message = decodeControlMessage(std::get<Envelope>(envelope).payload);
        node.agent.relay().receive(from, std::get<Envelope>(envelope), std::get<ControlMessage>(message), m_now);
    }

    std::map<ProcessName, std::unique_ptr<Node>> m_nodes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_seed = 0;
    SteadyTime m_now{};
};

} // namespace Heatherridge
