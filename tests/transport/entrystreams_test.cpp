#include "heatherridge_transport/entry/entrytraffic.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("chip");

/** A request of a caller, and what the caller receives. */
class RecordingExchange final : public HttpExchange
{
public:
    const HttpRequest &request() const override
    {
        return m_request;
    }

    void onClosed(std::function<void()>) override
    {
    }

    /** Waits for the end of the response. @returns whether it is complete */
    bool awaitEnd()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 20s, [this] { return m_isWhole || m_isCutOff; });
        return m_isWhole;
    }

    std::string body()
    {
        const std::lock_guard lock(m_mutex);
        return m_body;
    }

private:
    void sendResponse(HttpResponse response) override
    {
        finish(&RecordingExchange::m_isWhole, response.body);
    }

    void sendStreamHead(int, const std::vector<HttpHeader> &) override
    {
    }

    void sendStreamBytes(std::string bytes, WriteCallback done) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_body += bytes;
        }
        done(true);
    }

    void sendStreamEnd() override
    {
        finish(&RecordingExchange::m_isWhole, {});
    }

    void closeConnection() override
    {
        finish(&RecordingExchange::m_isCutOff, {});
    }

    void finish(bool RecordingExchange::*end, const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_body += bytes;
        this->*end = true;
        m_changed.notify_all();
    }

    HttpRequest m_request;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_body;
    bool m_isWhole = false;
    bool m_isCutOff = false;
};

/** Frames that a target's process sends in one attempt. */
struct AttemptFrames
{
    std::vector<std::string> chunks{};
    bool hasHead = true;
    bool isLost = false; ///< the target is lost after the chunks; otherwise the answer ends
};

std::vector<TrafficMessage> messagesFor(const AttemptFrames &frames, const RequestId &id)
{
    std::vector<TrafficMessage> messages;
    if (frames.hasHead) {
        messages.emplace_back(
            AnswerHead{.id = id, .headers = {{.name = "Content-Type", .value = "text/event-stream"}}});
    }
    for (std::size_t index = 0; index < frames.chunks.size(); ++index) {
        const auto &text = frames.chunks[index];
        messages.emplace_back(AnswerChunk{.id = id, .sequence = index, .bytes = Bytes(text.begin(), text.end())});
    }
    if (frames.isLost) {
        messages.emplace_back(
            AnswerError{.id = id, .kind = ErrorKind::StreamBroken, .ran = ExecutionStatus::Yes, .detail = "lost"});
    } else {
        messages.emplace_back(AnswerEnd{.id = id, .chunks = frames.chunks.size()});
    }
    return messages;
}

/** Three target processes on the loopback interface, which answer attempt N of a request with the Nth frames. */
class TargetProcesses
{
public:
    static constexpr int Count = 3;

    explicit TargetProcesses(std::vector<AttemptFrames> attempts)
        : m_attempts(std::move(attempts))
    {
        for (int index = 0; index < Count; ++index) {
            m_listeners.push_back(std::make_unique<PeerListener>(
                m_loop.context(),
                PeerSocketEvents{[](const auto &) {},
                                 [this](const auto &socket, const Bytes &frame) { answer(*socket, frame); },
                                 [](const auto &) {}},
                MaxFrameBytes));
            int port = 0;
            EXPECT_EQ(m_listeners.back()->start("127.0.0.1", port), "");
            m_inventory += "[target.t" + std::to_string(index) + "]\nhost = h" + std::to_string(index)
                + "\nzone = a\nservice = chip\nkind = engine\nmodels = chip-llm\ngate = 127.0.0.1:"
                + std::to_string(port) + "\nbackend = 127.0.0.1:" + std::to_string(port) + "\n";
        }
        m_loop.start();
    }

    ~TargetProcesses()
    {
        m_loop.stop();
    }

    TargetProcesses(const TargetProcesses &) = delete;
    TargetProcesses &operator=(const TargetProcesses &) = delete;

    std::shared_ptr<const ConfigView> view() const
    {
        auto view = std::make_shared<ConfigView>();
        view->inventory =
            std::make_shared<Inventory>(std::get<Inventory>(Inventory::fromDocument(IniDocument::parse(m_inventory))));
        return view;
    }

    int attempts() const
    {
        return m_attemptCount;
    }

private:
    void answer(PeerSocket &socket, const Bytes &frame)
    {
        const auto envelope = decodeEnvelope(frame);
        const auto message = decodeTrafficMessage(std::get<Envelope>(envelope).payload);
        const auto *request = std::get_if<SubmitRequest>(&std::get<TrafficMessage>(message));
        if (request == nullptr) {
            return;
        }
        const auto attempt = static_cast<std::size_t>(m_attemptCount++);
        for (const auto &reply : messagesFor(m_attempts[std::min(attempt, m_attempts.size() - 1)], request->id)) {
            socket.send(m_encoder.frame(reply));
        }
    }

    const std::vector<AttemptFrames> m_attempts;
    std::atomic<int> m_attemptCount = 0;
    std::string m_inventory = "[zone.a]\nregion = r\n";
    FrameEncoder m_encoder{ProcessName("targets"), Incarnation{1}, [] { return std::make_shared<const ConfigView>(); }};
    EventLoop m_loop;
    std::vector<std::unique_ptr<PeerListener>> m_listeners;
};

struct EntryStreamCase
{
    const char *name;
    std::vector<AttemptFrames> attempts;
    std::string body; ///< that the caller gets, followed by the description of an error if it is not whole
    bool isWhole;
    int attemptCount;
};

const EntryStreamCase EntryStreamCases[] = {
    {"Whole", {{.chunks = {"data: a\n\nda", "ta: b\n\n"}}}, "data: a\n\ndata: b\n\n", true, 1},
    {"Resumed",
     {{.chunks = {"data: a\n\n"}, .isLost = true}, {.chunks = {"data: a\n\ndata: b\n\n"}}},
     "data: a\n\ndata: b\n\n",
     true,
     2},
    {"EndInsideAnEvent",
     {{.chunks = {"data: a\n\ndata: b"}}, {.chunks = {"data: a\n\ndata: b\n\n"}}},
     "data: a\n\ndata: b\n\n",
     true,
     2},
    {"EndAfterABlankLineAndAComment", {{.chunks = {"data: a\n\n\n: end\n"}}}, "data: a\n\n", true, 1},
    {"ResumedEndInsideAnEvent",
     {{.chunks = {"data: a\n\n"}, .isLost = true},
      {.chunks = {"data: a\n\ndata: b"}},
      {.chunks = {"data: a\n\ndata: b\n\n"}}},
     "data: a\n\ndata: b\n\n",
     true,
     3},
    {"ResumedEndBeforeTheEventsOfTheCaller",
     {{.chunks = {"data: a\n\n"}, .isLost = true}, {}, {.chunks = {"data: a\n\ndata: b\n\n"}}},
     "data: a\n\ndata: b\n\n",
     true,
     3},
    {"ResumedEndWithoutHead",
     {{.chunks = {"data: a\n\n"}, .isLost = true}, {.hasHead = false}},
     "data: a\n\n",
     false,
     2},
    {"ResumedEndWithoutHeadBeforeTheFirstEvent", {{.isLost = true}, {.hasHead = false}}, "", false, 2},
};

class EntryStreams : public testing::TestWithParam<EntryStreamCase>
{
};

// Guards against a stream that looks complete although its target, or the one that resumes it, ended before its last
// event.
TEST_P(EntryStreams, EndAsWholeOnlyWithTheirLastEvent)
{
    const auto &testCase = GetParam();
    const TargetProcesses targets(testCase.attempts);
    Metrics metrics;
    RequestJournal journal;
    EntryTraffic traffic({.process = ProcessName("entry"), .incarnation = Incarnation{1}, .zone = ZoneName("a")},
                         metrics, journal);
    traffic.start();
    traffic.setView(targets.view());
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    const auto areUp = [&traffic] {
        const auto status = traffic.targets();
        return std::count_if(status.begin(), status.end(), [](const auto &target) { return target.isUp; })
            == TargetProcesses::Count;
    };
    while (!areUp() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    const auto exchange = std::make_shared<RecordingExchange>();
    traffic.submit({.submit = {.id = RequestId("r1"),
                               .workspace = WorkspaceName("mills"),
                               .service = Service,
                               .method = "POST",
                               .path = "/v1/chat/completions",
                               .mayRepeat = true},
                    .model = ModelName("chip-llm"),
                    .timeout = 20s,
                    .wantsStream = true},
                   exchange);
    EXPECT_EQ(exchange->awaitEnd(), testCase.isWhole);
    const auto body = exchange->body();
    EXPECT_EQ(testCase.isWhole ? body : body.substr(0, testCase.body.size()), testCase.body);
    EXPECT_EQ(targets.attempts(), testCase.attemptCount);
    traffic.stop();
}

INSTANTIATE_TEST_SUITE_P(All, EntryStreams, testing::ValuesIn(EntryStreamCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
