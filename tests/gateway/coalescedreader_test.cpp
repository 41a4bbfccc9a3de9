#include "heatherridge_transport/direct/coalescedreader.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

/** Readings that end when the test says so. */
class SlowReadings
{
public:
    SharedRead<int> &reads()
    {
        return m_reads;
    }

    int begun() const
    {
        return m_begun;
    }

    /** The open reading ends with its own number. */
    void endOne()
    {
        const auto done = std::exchange(m_open, {});
        done(m_begun);
    }

private:
    int m_begun = 0;
    std::function<void(Result<int>)> m_open;
    SharedRead<int> m_reads{[this](auto done) {
        ++m_begun;
        m_open = std::move(done);
    }};
};

// An engine gets 2,000 new connections a second, each of which takes a slot for a moment: every gateway asks the
// process beside it at the same moments, and each question was a connection of its own.
TEST(SharedReads, AskTheEngineOnceForAllWhoWait)
{
    SlowReadings readings;
    std::vector<int> told;
    for (int caller = 0; caller < 14; ++caller) {
        readings.reads().ask([&told](const Result<int> &result) { told.push_back(std::get<int>(result)); });
    }
    EXPECT_EQ(readings.begun(), 1);
    readings.endOne();
    EXPECT_EQ(readings.begun(), 2);
    readings.endOne();
    EXPECT_EQ(told.size(), 14U);
    EXPECT_TRUE(readings.reads().isIdle());
}

// A switch of maps asks for the present pass and gets one of before its question: the pass that it then chooses to hold
// has begun. So who asks while a reading is open is told what the next one says.
TEST(SharedReads, NeverTellWhatWasReadBeforeTheQuestion)
{
    SlowReadings readings;
    int first = 0;
    int second = 0;
    readings.reads().ask([&first](const Result<int> &result) { first = std::get<int>(result); });
    readings.reads().ask([&second](const Result<int> &result) { second = std::get<int>(result); });
    readings.endOne();
    EXPECT_EQ(first, 1);
    EXPECT_EQ(second, 0);
    readings.endOne();
    EXPECT_EQ(second, 2);
}

} // namespace
