#include "heatherridge_coordination/feed/runrecorder.h"
#include "heatherridge_protocol/runrecordcodec.h"

#include <gtest/gtest.h>

#include <deque>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const Error LogUnavailable{.kind = ErrorKind::PlatformUnavailable};

/** A log of runs whose calls the test answers, in the order in which they were made. */
class ManualRunLog final : public RunLog
{
public:
    void readNewest(const ProcessName &process, std::function<void(Result<std::optional<std::string>>)> done) override
    {
        EXPECT_EQ(process, ProcessName("g"));
        ++readCount;
        m_reads.push_back(std::move(done));
    }

    void write(const ProcessName &process, const std::string &record, std::function<void(Outcome)> done) override
    {
        EXPECT_EQ(process, ProcessName("g"));
        written.push_back(std::get<RunRecord>(decodeRunRecord(record)));
        m_writes.push_back(std::move(done));
    }

    bool isReadOpen() const
    {
        return !m_reads.empty();
    }

    bool isWriteOpen() const
    {
        return !m_writes.empty();
    }

    void answerRead(const Result<std::optional<std::string>> &answer)
    {
        take(m_reads)(answer);
    }

    void answerWrite(const Outcome &answer)
    {
        take(m_writes)(answer);
    }

    int readCount = 0;
    std::vector<RunRecord> written; ///< by all writes, whatever their answers

private:
    template<typename Done>
    static Done take(std::deque<Done> &calls)
    {
        auto done = std::move(calls.at(0));
        calls.pop_front();
        return done;
    }

    std::deque<std::function<void(Result<std::optional<std::string>>)>> m_reads;
    std::deque<std::function<void(Outcome)>> m_writes;
};

class RunRecorderTest : public testing::Test
{
protected:
    void advance(std::chrono::milliseconds duration)
    {
        const auto end = m_now + duration;
        while (m_now < end) {
            m_now += std::min<SteadyTime::duration>(20ms, end - m_now);
            m_recorder->tick(m_now);
        }
    }

    /** Starts the run; the log has no record of the process. */
    void startAndWrite()
    {
        advance(3s + 20ms);
        m_log.answerRead(std::nullopt);
        m_log.answerWrite({});
    }

    std::vector<RunState> writtenStates() const
    {
        std::vector<RunState> states;
        for (const auto &record : m_log.written) {
            states.push_back(record.state);
        }
        return states;
    }

    ManualRunLog m_log;
    RunObservation m_observation{
        .use = {.peakMemory = 10, .memoryLimit = 100, .descriptors = 10, .descriptorLimit = 100}};
    std::vector<RunRecord> m_unfinished;
    std::vector<std::string> m_dropped;
    std::unique_ptr<RunRecorder> m_recorder = std::make_unique<RunRecorder>(
        m_log,
        RunRecorder::Options{.process = ProcessName("g"),
                             .run = Incarnation(7),
                             .startedAt = WallTime(5s),
                             .version = "1",
                             .spread = 3s,
                             .samplePeriod = 1s,
                             .minWritePeriod = 10s,
                             .retryDelay = 500ms,
                             .maxTries = 4},
        [this] { return m_observation; },
        RunRecorder::Events{.previousUnfinished = [this](const auto &record) { m_unfinished.push_back(record); },
                            .dropped = [this](auto what, const auto &) { m_dropped.emplace_back(what); }});

private:
    SteadyTime m_now{100s};
};

using States = std::vector<RunState>;

// Guards against a run in calm that costs more than four calls of the log.
TEST_F(RunRecorderTest, ARunInCalmMakesFourCalls)
{
    startAndWrite();
    advance(600s);
    m_recorder->beginStop();
    m_log.answerWrite({});
    advance(4s);
    m_recorder->end();
    m_log.answerWrite({});
    advance(1s);
    EXPECT_EQ(m_log.readCount, 1);
    EXPECT_EQ(writtenStates(), (States{RunState::Running, RunState::Stopping, RunState::Ended}));
    EXPECT_EQ(m_log.written.back(),
              (RunRecord{.run = Incarnation(7),
                         .startedAt = WallTime(5s),
                         .state = RunState::Ended,
                         .use = m_observation.use,
                         .version = "1"}));
    EXPECT_TRUE(m_dropped.empty());
}

// Guards against hundreds of reads at once when all gateways start together.
TEST_F(RunRecorderTest, TheFirstCallWaits)
{
    advance(3s - 20ms);
    EXPECT_EQ(m_log.readCount, 0);
    advance(40ms);
    EXPECT_EQ(m_log.readCount, 1);
}

struct PreviousRow
{
    const char *name;
    std::optional<std::string> record;
    std::size_t unfinished;
    std::size_t dropped;
};

const PreviousRow PreviousRows[] = {
    {"None", std::nullopt, 0, 0},
    {"Running", encodeRunRecord({.run = Incarnation(6), .state = RunState::Running}), 1, 0},
    {"Stopping", encodeRunRecord({.run = Incarnation(6), .state = RunState::Stopping}), 1, 0},
    {"Ended", encodeRunRecord({.run = Incarnation(6), .state = RunState::Ended}), 0, 0},
    {"Odd", "odd", 0, 1},
    {"Empty", "", 0, 1},
};

class PreviousRuns : public RunRecorderTest, public testing::WithParamInterface<PreviousRow>
{
};

// Guards against an end that nobody ordered and nobody learns of, and against an orderly one that is reported.
TEST_P(PreviousRuns, AreReportedUnlessTheyEndedInOrder)
{
    advance(4s);
    EXPECT_TRUE(m_log.written.empty()) << "the record of the run before would be lost";
    m_log.answerRead(GetParam().record);
    EXPECT_EQ(m_unfinished.size(), GetParam().unfinished);
    EXPECT_EQ(m_dropped.size(), GetParam().dropped);
    EXPECT_EQ(writtenStates(), States{RunState::Running});
}

INSTANTIATE_TEST_SUITE_P(All, PreviousRuns, testing::ValuesIn(PreviousRows),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a record that says nothing of what the process came close to.
TEST_F(RunRecorderTest, WritesWhenAResourceReachesALevel)
{
    startAndWrite();
    advance(20s);
    m_observation.use.peakMemory = 74;
    advance(20s);
    EXPECT_EQ(m_log.written.size(), 1U);
    m_observation.use.peakMemory = 75;
    advance(1s);
    ASSERT_EQ(m_log.written.size(), 2U);
    EXPECT_EQ(m_log.written.back().use.peakMemory, 75U);
    m_log.answerWrite({});
    m_observation.use.peakMemory = 89;
    advance(20s);
    EXPECT_EQ(m_log.written.size(), 2U);
    m_observation.use.descriptors = 95;
    advance(1s);
    EXPECT_EQ(m_log.written.size(), 3U);
    m_log.answerWrite({});
    advance(10s);
    m_observation.handlerFailures = 1;
    m_observation.lastFailure = "assign: File exists";
    advance(1s);
    ASSERT_EQ(m_log.written.size(), 4U);
    EXPECT_EQ(m_log.written.back().lastFailure, "assign: File exists");
}

// Guards against a process that writes all the time because its use goes up and down, or handlers throw all the time.
TEST_F(RunRecorderTest, WritesFiveFurtherTimesARunAtMostAndTenSecondsApart)
{
    startAndWrite();
    std::vector<int> writeSeconds;
    for (int second = 1; second <= 600; ++second) {
        m_observation.use.peakMemory = std::min(74 + second / 2, 100);
        m_observation.use.descriptors = second % 2 == 0 ? 0 : std::min(60 + 3 * second, 100);
        m_observation.handlerFailures = second;
        advance(1s);
        if (m_log.isWriteOpen()) {
            m_log.answerWrite({});
            writeSeconds.push_back(second);
        }
    }
    ASSERT_GE(writeSeconds.size(), 3U);
    EXPECT_LE(writeSeconds.size(), 5U);
    EXPECT_GE(writeSeconds.front(), 10) << "after the write at the start";
    for (std::size_t index = 1; index < writeSeconds.size(); ++index) {
        EXPECT_GE(writeSeconds[index] - writeSeconds[index - 1], 10);
    }
    EXPECT_EQ(usageLevel(m_log.written.back().use.peakMemory, 100), UsageLevel::Critical);
}

// Guards against an end that is taken for unordered because one answer of the log was lost.
TEST_F(RunRecorderTest, RepeatsCallsWhoseAnswersAreLost)
{
    advance(4s);
    m_log.answerRead(LogUnavailable);
    advance(480ms);
    EXPECT_EQ(m_log.readCount, 1) << "before the delay has passed";
    advance(40ms);
    EXPECT_EQ(m_log.readCount, 2);
    m_log.answerRead(encodeRunRecord({.run = Incarnation(6)}));
    EXPECT_EQ(m_unfinished.size(), 1U);
    m_log.answerWrite(LogUnavailable);
    advance(520ms);
    EXPECT_EQ(m_log.written.size(), 2U);
    m_log.answerWrite(LogUnavailable);
    advance(980ms);
    EXPECT_EQ(m_log.written.size(), 2U) << "the delay doubles";
    advance(40ms);
    EXPECT_EQ(m_log.written.size(), 3U);
    m_log.answerWrite({});
    advance(60s);
    EXPECT_EQ(m_log.written.size(), 3U);
    EXPECT_EQ(m_unfinished.size(), 1U);
    EXPECT_TRUE(m_dropped.empty());
}

// Guards against calls, which are billed, without end while the log is away, and against a run without a record when it
// comes back.
TEST_F(RunRecorderTest, DropsACallUntilTheLogAnswersAgain)
{
    for (auto elapsed = 0ms; elapsed < 600s; elapsed += 20ms) {
        advance(20ms);
        if (m_log.isReadOpen()) {
            m_log.answerRead(LogUnavailable);
        }
    }
    EXPECT_EQ(m_log.readCount, 4);
    EXPECT_EQ(m_dropped, std::vector<std::string>{"read"});
    EXPECT_TRUE(m_log.written.empty());
    m_recorder->logRegained();
    advance(2s);
    EXPECT_EQ(m_log.readCount, 4) << "all gateways find the log at the same time";
    advance(2s);
    EXPECT_EQ(m_log.readCount, 5);
    m_log.answerRead(std::nullopt);
    m_log.answerWrite({});
    m_recorder->logRegained();
    advance(60s);
    EXPECT_EQ(m_log.written.size(), 1U);
}

// Guards against a stop whose record waits behind a repeat, or is written before an earlier one.
TEST_F(RunRecorderTest, WritesTheStopAtOnceAndInOrder)
{
    startAndWrite();
    m_recorder->beginStop();
    EXPECT_EQ(m_log.written.size(), 2U) << "before the next tick";
    m_recorder->end();
    EXPECT_EQ(m_log.written.size(), 2U) << "while the call before is not answered";
    m_log.answerWrite(LogUnavailable);
    EXPECT_EQ(writtenStates(), (States{RunState::Running, RunState::Stopping, RunState::Ended}));
}

// Guards against the loss of what the run before left behind when this one is stopped at once.
TEST_F(RunRecorderTest, AStopSoonAfterTheStartReadsFirst)
{
    advance(100ms);
    m_recorder->beginStop();
    EXPECT_EQ(m_log.readCount, 1);
    EXPECT_TRUE(m_log.written.empty());
    m_recorder->end();
    m_log.answerRead(encodeRunRecord({.run = Incarnation(6)}));
    EXPECT_EQ(m_unfinished.size(), 1U);
    EXPECT_EQ(writtenStates(), States{RunState::Ended});
}

// Guards against a record of an earlier run, or none, in a log that has come back from an older copy.
TEST_F(RunRecorderTest, WritesAgainAfterTheLogIsRestored)
{
    startAndWrite();
    m_recorder->logRestored();
    advance(2s);
    EXPECT_EQ(m_log.written.size(), 1U) << "all gateways detect it at the same time";
    advance(2s);
    EXPECT_EQ(writtenStates(), (States{RunState::Running, RunState::Running}));
    EXPECT_EQ(m_log.readCount, 1);
}

// Guards against an answer that arrives after the recorder has been destroyed.
TEST_F(RunRecorderTest, IgnoresLateAnswers)
{
    advance(4s);
    m_recorder.reset();
    m_log.answerRead(encodeRunRecord({.run = Incarnation(6)}));
    EXPECT_TRUE(m_unfinished.empty());
}

} // namespace
