// A sound request that was at two replicas when they crashed is refused for as long as it is asked for.
#include "drill.h"

using namespace Drill;

int main(int, char **argv)
{
    const bool isTroubled = std::string(argv[3]) != "0";
    Record::instance().open(argv[4]);
    startTime();
    constexpr int downMs = 4500;
    constexpr int touchMs = 3000; // stableWindowMs
    Deployment site(argv[1], argv[2]);
    const auto services = json::array({service("desk", 96)});
    const auto tenants = json::array({tenant("t1", "key1"), tenant("t2", "key2")});
    const auto lookup = route("lookup", "/look/", "safe", "desk", 800, 300, 2);
    site.configure(3, json::array({lookup}), services, tenants);
    std::mutex mutex;
    std::map<std::string, int> statusRequests; // in progress, by replica
    const auto handle = [&](Replica &self, const std::shared_ptr<Connection> &connection, const Message &request) {
        const auto id = request.header("X-Heatherridge-Request-Id");
        const int isStatus = request.path() == "/status/yard" ? 1 : 0;
        record("run " + id + " " + request.path() + " at " + self.name);
        const auto count = [&](int change) {
            const std::lock_guard lock(mutex);
            self.running += change;
            statusRequests[self.name] += change * isStatus;
        };
        count(1);
        sleepMs(60);
        count(-1);
        if (!self.isDown) {
            connection->send(response(200, "looked up " + id, self.headers(request) + Replica::signature(request)));
        }
    };
    for (int index = 0; index < 12; ++index) {
        site.addReplica("desk", std::string(1, "abc"[index % 3]), handle);
    }
    if (!site.start()) {
        finish(site, 2, "the gateways are not ready");
    }
    site.configure(4, json::array({lookup, route("status", "/status/", "safe", "desk", 800, 300, 2)}), services,
                   tenants);
    sleepMs(4000);
    std::atomic<bool> isDone{false};
    std::atomic<bool> isCounted{false};
    std::atomic<int> sent[2]{};
    std::atomic<int> served[2]{}; // [0] on the first route, [1] on the later one
    for (std::size_t index = 0; index < 64; ++index) {
        std::thread([&, index] {
            const int isStatus = index % 4 == 0 ? 1 : 0; // of one caller, whose connections meet one gateway
            Client client(site.gateways[isStatus == 1 ? 0 : index % 4]->port, isStatus == 1 ? "key1" : "key2");
            for (int number = 0; !isDone; ++number) {
                const auto path = isStatus == 1 ? "/status/yard"
                                                : "/look/" + std::to_string(index) + "-" + std::to_string(number % 50);
                const auto id = newId();
                const bool counts = isCounted;
                const int status = client.call("GET", path, "", id, 1500);
                record("request " + id + " " + path + " answered " + std::to_string(status));
                if (counts) {
                    ++sent[isStatus];
                    served[isStatus] += status == 200 ? 1 : 0;
                }
                sleepMs(status == 200 ? 5 : 100);
            }
        }).detach();
    }
    sleepMs(6000);
    if (isTroubled) {
        std::vector<std::pair<int, Replica *>> order;
        {
            const std::lock_guard lock(mutex);
            for (const auto &replica : site.replicas) {
                order.emplace_back(statusRequests[replica->name], replica.get());
            }
        }
        std::sort(order.rbegin(), order.rend());
        site.crash(*order[0].second, downMs);
        site.crash(*order[1].second, downMs);
    }
    sleepMs(downMs + touchMs);
    isCounted = true;
    sleepMs(20'000);
    isDone = true;
    sleepMs(200);
    const auto share = [&](int index) { return static_cast<double>(served[index]) / std::max(1, sent[index].load()); };
    const bool isBroken = sent[1] >= 20 && share(1) < share(0) / 4;
    finish(site,
           sent[1] < 20   ? 2
               : isBroken ? 1
                          : 0,
           "from 3 s after all replicas are back: requests on the first route " + std::to_string(sent[0]) + ", served "
               + std::to_string(served[0]) + "; on the later route " + std::to_string(sent[1]) + ", served "
               + std::to_string(served[1]));
}
