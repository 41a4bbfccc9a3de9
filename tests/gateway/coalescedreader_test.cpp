#include "heatherridge_transport/direct/coalescedreader.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Readings that end when the test says so. */
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

    /** The open reading ends with its own number. */
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

// An engine gets 2,000 new connections a second, each of which takes a slot for a moment: every gateway asks the
// process beside it at the same moments, and each question was a connection of its own.
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

// A switch of maps asks for the present pass and gets one of before its question: the pass that it then chooses to hold
// has begun. So who asks while a reading is open is told what the next one says.
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
