// A part of prompts that crashes replicas, while one of seven replicas answers a share of its requests with 500.
#include "drill.h"

using namespace Drill;

int main(int, char **argv)
{
    const bool isTroubled = std::string(argv[3]) != "0";
    Record::instance().open(argv[4]);
    startTime();
    constexpr double touchSeconds = 3; // stableWindowMs
    constexpr double greySeconds = 6.5; // of each time
    constexpr double greyPeriod = 7.5;
    const std::string crashingPart = "dead1:300";
    Deployment site(argv[1], argv[2]);
    site.configure(3, json::array({route("draft", "/draft/", "streaming", "llm", 8000, 400, 2)}),
                   json::array({service("llm", 248)}), json::array({tenant("t1", "key1")}));
    std::mutex mutex;
    std::vector<double> arrivals;
    std::vector<double> crashes;
    int failures = 0; // of requests with the part
    int greyRequests = 0;
    std::atomic<double> greySince{1e9};
    const auto isGrey = [&](const Replica &replica) {
        const double elapsed = seconds() - greySince;
        return isTroubled && replica.name == "i-1" && elapsed >= 0 && std::fmod(elapsed, greyPeriod) < greySeconds;
    };
    const auto handle = [&](Replica &self, const std::shared_ptr<Connection> &connection, const Message &request) {
        const auto id = request.header("X-Heatherridge-Request-Id");
        const bool hasPart = request.header("X-Heatherridge-Prompt-Prefix").find(crashingPart) != std::string::npos;
        bool fails = false;
        {
            const std::lock_guard lock(mutex);
            if (hasPart) {
                arrivals.push_back(seconds());
                record("part reaches " + self.name + " with " + id);
            }
            fails = isGrey(self) && greyRequests++ % 20 * 9 % 20 < 9; // 0.45 of its requests
            failures += fails && hasPart ? 1 : 0;
        }
        sleepMs(20); // reads the prompt
        if (self.isDown) {
            return;
        }
        if (fails) {
            record(self.name + " answers " + id + " with 500");
            connection->send(response(500, "failed", self.headers(request) + Replica::signature(request)));
            return;
        }
        if (hasPart && isTroubled) {
            {
                const std::lock_guard lock(mutex);
                crashes.push_back(seconds());
            }
            site.crash(self);
            return;
        }
        connection->send("HTTP/1.1 200 OK\r\n" + self.headers(request) + Replica::signature(request)
                         + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= 28; ++event) {
            sleepMs(20);
            if (self.isDown || !connection->send(chunk("id: " + std::to_string(event) + "\ndata: words\n\n"))) {
                return;
            }
        }
        connection->send("0\r\n\r\n");
    };
    for (const auto *const zone : {"a", "b", "b", "b", "c", "c", "c"}) {
        site.addReplica("llm", zone, handle);
    }
    if (!site.start()) {
        finish(site, 2, "the gateways are not ready");
    }
    sleepMs(4000);
    std::atomic<bool> isDone{false};
    std::atomic<int> soundSent{0};
    std::atomic<int> soundServed{0};
    for (std::size_t index = 0; index < 8; ++index) {
        std::thread([&, index] {
            Client client(site.gateways[2 + index % 2]->port, "key1");
            for (int number = 0; !isDone; ++number) {
                const auto id = newId();
                const auto parts = "a" + std::to_string(number % 5) + ":40,b" + std::to_string(number % 7) + ":300,"
                    + id.substr(0, 8) + ":200";
                const int status = client.call("POST", "/draft/x", "sound " + id, id, 8000, streamHeaders(parts));
                record("sound stream " + id + " answered " + std::to_string(status));
                ++soundSent;
                soundServed += status == 200 ? 1 : 0;
                sleepMs(100);
            }
        }).detach();
    }
    sleepMs(4000);
    greySince = seconds();
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < 28; ++index) {
        callers.emplace_back([&, index] {
            Client client(site.gateways[index % 2]->port, "key1");
            const auto id = newId();
            const auto parts = "a" + std::to_string(index % 5) + ":40," + crashingPart + "," + id.substr(0, 8) + ":200";
            record("request " + id + " with the part sent to front-" + std::to_string(index % 2 + 1));
            const int status = client.call("POST", "/draft/x", "with the part " + id, id, 8000, streamHeaders(parts));
            record("request " + id + " with the part answered " + std::to_string(status));
        });
        sleepMs(3300);
    }
    for (auto &caller : callers) {
        caller.join();
    }
    isDone = true;
    const std::lock_guard lock(mutex);
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [&](double at) { return crashes.size() >= 5 && at > crashes[4] + touchSeconds; });
    finish(site, late > 3 ? 1 : 0,
           "requests with the part reached replicas " + std::to_string(arrivals.size()) + " times and crashed "
               + std::to_string(crashes.size()) + "; " + std::to_string(late)
               + " of these later than 3 s after the fifth crash (3 allowed); 500 for " + std::to_string(failures)
               + "; sound streams sent " + std::to_string(soundSent) + ", whole " + std::to_string(soundServed));
}
