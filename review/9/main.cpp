// Replicas that are cut off once for seconds are never used again, because they might have restarted cold.
#include "drill.h"

using namespace Drill;

int main(int, char **argv)
{
    const bool isTroubled = std::string(argv[3]) != "0";
    Record::instance().open(argv[4]);
    startTime();
    constexpr int cutMs = 3000;
    constexpr int configMs = 3000;
    constexpr int touchMs = 4000; // stableWindowMs
    Deployment site(argv[1], argv[2], "warm-up-factor = 1.5\nwarm-up-slack = 5\n"); // coldOver, coldSlack
    auto rates = service("rates", 96);
    rates["coldS"] = 3.0;
    rates["coldPerS"] = 0.5;
    const auto services = json::array({service("desk", 96), rates});
    const auto tenants = json::array({tenant("t1", "key1")});
    const auto lookup = route("lookup", "/look/", "safe", "desk", 800, 300, 2);
    const auto price = route("price", "/price/", "safe", "rates", 800, 300, 2);
    site.configure(3, json::array({lookup}), services, tenants);
    const auto handle = [](Replica &self, const std::shared_ptr<Connection> &connection, const Message &request) {
        const auto id = request.header("X-Heatherridge-Request-Id");
        record("run " + id + " " + request.path() + " at " + self.name);
        ++self.running;
        sleepMs(30);
        --self.running;
        if (!self.isDown) {
            connection->send(response(200, "found " + id, self.headers(request) + Replica::signature(request)));
        }
    };
    for (const auto *const zone : {"a", "b", "c"}) {
        site.addReplica("desk", zone, handle);
    }
    std::vector<Replica *> rateReplicas;
    for (const auto *const zone : {"a", "b", "c"}) {
        rateReplicas.push_back(&site.addReplica("rates", zone, handle));
    }
    if (!site.start()) {
        finish(site, 2, "the gateways are not ready");
    }
    sleepMs(2000);
    site.configure(4, json::array({lookup, price}), services, tenants);
    sleepMs(configMs + touchMs);
    std::atomic<bool> isDone{false};
    std::atomic<bool> isCounted{false};
    std::atomic<int> sent[2]{};
    std::atomic<int> served[2]{}; // [0] on the first route, [1] on the later one
    for (std::size_t index = 0; index < 32; ++index) {
        std::thread([&, index] {
            const std::size_t later = index / 16;
            Client client(site.gateways[index % 4]->port, "key1");
            while (!isDone) {
                const auto id = newId();
                const bool counts = isCounted;
                const int status = client.call("GET", (later == 1 ? "/price/" : "/look/") + id, "", id, 1500);
                record("request " + id + " answered " + std::to_string(status));
                if (counts) {
                    ++sent[later];
                    served[later] += status == 200 ? 1 : 0;
                }
                sleepMs(50);
            }
        }).detach();
    }
    sleepMs(3000);
    if (isTroubled) {
        for (auto *replica : rateReplicas) {
            site.cut(*replica, cutMs);
            sleepMs(2000);
        }
    }
    sleepMs(touchMs);
    isCounted = true;
    sleepMs(30'000);
    isDone = true;
    sleepMs(200);
    const bool isBroken = sent[1] >= 20 && served[1] * 4.0 / sent[1] < served[0] * 1.0 / std::max(1, sent[0].load());
    finish(site,
           sent[1] < 20   ? 2
               : isBroken ? 1
                          : 0,
           "later than 6 s after the last cut: requests on the first route " + std::to_string(sent[0]) + ", served "
               + std::to_string(served[0]) + "; on the later route " + std::to_string(sent[1]) + ", served "
               + std::to_string(served[1]));
}
