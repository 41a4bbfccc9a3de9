#include "heatherridge_transport/direct/coalescedreader.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Reads that finish when the test calls finishRead(). */
class ControlledReads
{
public:
    CoalescedReader<int> &reader()
    {
        return m_reader;
    }

    int readCount() const
    {
        return m_readCount;
    }

    /** Finishes the current read; its result is its number, counted from 1. */
    void finishRead()
    {
        const auto done = std::exchange(m_finishRead, {});
        done(m_readCount);
    }

private:
    int m_readCount = 0;
    std::function<void(Result<int>)> m_finishRead;
    CoalescedReader<int> m_reader{[this](auto done) {
        ++m_readCount;
        m_finishRead = std::move(done);
    }};
};

// Guards against 2,000 new connections per second to an engine, each of which briefly occupies a slot: every gateway
// queries the engine's sidecar at the same time, and without coalescing each query opens a connection of its own.
TEST(CoalescedReader, CoalescesWaitingRequestsIntoOneRead)
{
    ControlledReads controlled;
    std::vector<int> results;
    for (int caller = 0; caller < 14; ++caller) {
        controlled.reader().request(
            [&results](const Result<int> &result) { results.push_back(std::get<int>(result)); });
    }
    EXPECT_EQ(controlled.readCount(), 1);
    controlled.finishRead();
    EXPECT_EQ(controlled.readCount(), 2);
    controlled.finishRead();
    EXPECT_EQ(results.size(), 14U);
    EXPECT_TRUE(controlled.reader().isIdle());
}

// Guards against a map switch that requests the current pass and receives one read before its request: the pass that it
// then chooses to hold has already begun. A request made during a read must receive the result of the next read.
TEST(CoalescedReader, NeverDeliversAReadStartedBeforeTheRequest)
{
    ControlledReads controlled;
    int first = 0;
    int second = 0;
    controlled.reader().request([&first](const Result<int> &result) { first = std::get<int>(result); });
    controlled.reader().request([&second](const Result<int> &result) { second = std::get<int>(result); });
    controlled.finishRead();
    EXPECT_EQ(first, 1);
    EXPECT_EQ(second, 0);
    controlled.finishRead();
    EXPECT_EQ(second, 2);
}

} // namespace
