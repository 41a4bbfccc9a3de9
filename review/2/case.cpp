// Two of a zone's three gateways get SIGTERM. The entry finds fewer than half of the zone's nodes in rotation and goes
// on using all three. Checks that no booking which a stopping gateway read and passed on ends without an answer.
#include "standins.h"

using namespace standins;

namespace
{

constexpr double GraceSeconds = 8;
constexpr double StreamSentLimit = 3; // the rule excuses requests that were sent up to then
constexpr int DepositDeadlineMs = 1500;
constexpr double DepositTimeoutSeconds = 0.8; // of the route
constexpr double DepositWorkSeconds = 0.12;
constexpr double DepositPeriod = 1.0 / 60;
constexpr double StreamPeriod = 1.0 / 6;
constexpr int StreamEvents = 55; // the sheet's largest stream has 69
constexpr double EventPeriod = 0.1; // the sheet allows pauses of 120 ms

struct Attempt
{
    std::string id{};
    std::string gateway{};
    double sentAt = 0;
    double endedAt = 0;
    std::string outcome{}; ///< a status, "cut" or "no connection"
};

/** What the replicas saw of each request. */
class Runs
{
public:
    void begin(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_begun[id];
    }

    int count(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_begun.count(id) != 0 ? m_begun[id] : 0;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_begun;
};

Attempt call(Entry &entry, int client, const std::string &path, const std::string &id, int deadlineMs)
{
    auto *gateway = entry.choose(client);
    Attempt attempt{.id = id, .gateway = gateway->name(), .sentAt = elapsed()};
    const auto connection = Connection::open(gateway->port());
    if (!connection) {
        attempt.outcome = "no connection";
    } else if (!connection->write(requestHead(path, id, deadlineMs, 2) + "{}")) {
        attempt.outcome = "not sent";
    } else {
        attempt.sentAt = elapsed();
        const auto answer = readMessage(*connection);
        attempt.outcome = answer ? answer->word(1) : "cut";
    }
    attempt.endedAt = elapsed();
    return attempt;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    const bool hasTrouble = std::string(argv[3]) != "0";
    Record record(folder + "/record.txt");
    elapsed();
    limitRunTime(100);
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int index = 0; index < 3; ++index) {
        replicas.push_back(std::make_unique<Replica>(
            "i-prenota-" + std::to_string(index), "prenota", 6,
            [&](Connection &connection, const Message &request, const std::string &headers) {
                const auto id = request.header("x-heatherridge-request-id");
                runs.begin(id);
                record.line("replica begins " + id);
                sleepFor(DepositWorkSeconds);
                const bool isClosed = connection.isClosedByPeer();
                record.line("replica " + std::string(isClosed ? "has run and finds its caller gone " : "answers ")
                            + id);
                return connection.write(response(200, headers, "{\"seat\":true}"));
            }));
        replicas.push_back(std::make_unique<Replica>(
            "i-sommelier-" + std::to_string(index), "sommelier", 24,
            [&](Connection &connection, const Message &, const std::string &headers) {
                connection.write("HTTP/1.1 200 OK\r\n" + headers
                                 + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = 1; event <= StreamEvents; ++event) {
                    sleepFor(EventPeriod);
                    const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    if (!connection.write(size + text + "\r\n")) {
                        return false;
                    }
                }
                return connection.write("0\r\n\r\n");
            }));
    }
    store.put("keyed.op", "config", configuration());
    std::atomic<bool> isOver{false};
    std::thread beats([&] {
        while (!isOver) {
            for (const auto &replica : replicas) {
                replica->beat(store);
            }
            sleepFor(1.2);
        }
    });
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Gateway *> nodes;
    bool areReady = true;
    for (int index = 1; index <= 3; ++index) {
        gateways.push_back(
            std::make_unique<Gateway>(root, folder, "front-etna-" + std::to_string(index), store.port()));
        nodes.push_back(gateways.back().get());
    }
    for (const auto &gateway : gateways) {
        areReady = areReady && gateway->waitUntilReady(10);
    }
    if (!areReady) {
        record.line("a gateway does not become ready");
        gateways.clear();
        std::_Exit(2);
    }
    Entry entry(nodes);
    std::thread prober([&] {
        while (!isOver) {
            entry.probe();
            sleepFor(1);
        }
    });
    sleepFor(1);

    const auto begin = elapsed();
    const auto stopAt = begin + 2;
    const auto end = stopAt + GraceSeconds + 1.5;
    std::mutex mutex;
    std::vector<Attempt> deposits;
    std::vector<std::thread> calls;
    int number = 0;
    double nextDeposit = begin;
    double nextStream = begin;
    std::optional<double> stoppedAt;
    while (elapsed() < end) {
        if (!stoppedAt && elapsed() >= stopAt) {
            stoppedAt = elapsed();
            if (hasTrouble) {
                record.line("SIGTERM to front-etna-1 and front-etna-2");
                gateways[0]->signal(SIGTERM);
                gateways[1]->signal(SIGTERM);
            }
        }
        if (elapsed() >= nextDeposit) {
            nextDeposit += DepositPeriod;
            calls.emplace_back([&, client = ++number] {
                const auto id = "deposit-" + std::to_string(client);
                const auto attempt = call(entry, client, "/deposit/2f", id, DepositDeadlineMs);
                record.line("client " + id + " at " + attempt.gateway + " sent " + std::to_string(attempt.sentAt) + ": "
                            + attempt.outcome);
                const std::lock_guard lock(mutex);
                deposits.push_back(attempt);
            });
        }
        if (elapsed() >= nextStream) {
            nextStream += StreamPeriod;
            calls.emplace_back([&, client = ++number] {
                const auto id = "stream-" + std::to_string(client);
                const auto attempt = call(entry, client, "/tour/2f", id, 8000);
                record.line("client " + id + " at " + attempt.gateway + " sent " + std::to_string(attempt.sentAt) + ": "
                            + attempt.outcome);
            });
        }
        sleepFor(0.002);
    }
    for (auto &thread : calls) {
        thread.join();
    }

    int lost = 0;
    int answered = 0;
    for (const auto &attempt : deposits) {
        answered += attempt.outcome == "200" ? 1 : 0;
        const bool isStopping = attempt.gateway != "front-etna-3";
        const bool isAfterStop =
            attempt.sentAt > *stoppedAt + StreamSentLimit && attempt.sentAt < *stoppedAt + GraceSeconds + 1;
        const bool isBeforeTimeout = attempt.endedAt - attempt.sentAt < DepositTimeoutSeconds;
        if (attempt.outcome == "cut" && isStopping && isAfterStop && isBeforeTimeout && runs.count(attempt.id) > 0) {
            ++lost;
            record.line("LOST: " + attempt.id + ", sent " + std::to_string(attempt.sentAt - *stoppedAt)
                        + " s after SIGTERM, passed on to a replica, cut after "
                        + std::to_string(attempt.endedAt - attempt.sentAt) + " s");
        }
    }
    record.line("deposits answered: " + std::to_string(answered) + " of " + std::to_string(deposits.size())
                + ", lost: " + std::to_string(lost));
    isOver = true;
    prober.join();
    beats.join();
    gateways.clear();
    if (answered < static_cast<int>(deposits.size()) / 2) {
        std::_Exit(2); // the deployment did not serve: nothing was tested
    }
    std::_Exit(lost > 0 ? 1 : 0);
}
