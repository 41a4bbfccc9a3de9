// A request that crashes each replica that begins to run it, where the replica is back under the same id.
#include "drill.h"

using namespace Drill;

int main(int, char **argv)
{
    const bool isTroubled = std::string(argv[3]) != "0";
    Record::instance().open(argv[4]);
    startTime();
    constexpr double touchSeconds = 3; // stableWindowMs
    Deployment site(argv[1], argv[2]);
    site.configure(3, json::array({route("booking", "/book/", "unsafe", "desk")}), json::array({service("desk", 96)}),
                   json::array({tenant("t1", "key1")}));
    std::mutex mutex;
    std::vector<double> arrivals;
    std::vector<double> crashes;
    std::set<std::string> begun; // bookings that a replica has begun
    const auto handle = [&](Replica &self, const std::shared_ptr<Connection> &connection, const Message &request) {
        const auto id = request.header("X-Heatherridge-Request-Id");
        const bool isCrashing = request.path() == "/book/crash";
        record((isCrashing ? "crashing request " : "booking ") + id + " reaches " + self.name);
        {
            const std::lock_guard lock(mutex);
            if (isCrashing) {
                arrivals.push_back(seconds());
            } else {
                begun.insert(id);
            }
        }
        if (isCrashing && isTroubled) {
            {
                const std::lock_guard lock(mutex);
                crashes.push_back(seconds());
            }
            site.crash(self);
            return;
        }
        ++self.running;
        sleepMs(60);
        --self.running;
        if (!self.isDown) {
            connection->send(response(200, "booked " + id, self.headers(request) + Replica::signature(request)));
        }
    };
    for (const auto *const zone : {"a", "b", "c"}) {
        site.addReplica("desk", zone, handle);
    }
    if (!site.start()) {
        finish(site, 2, "the gateways are not ready");
    }
    sleepMs(4000);
    std::atomic<bool> isDone{false};
    std::atomic<int> booked{0};
    std::atomic<int> lost{0};
    const auto book = [&](Client &client) {
        const auto id = newId();
        const int status = client.call("POST", "/book/seat", "seat " + id, id, 1500);
        record("booking " + id + " answered " + std::to_string(status));
        const std::lock_guard lock(mutex);
        booked += status == 200 ? 1 : 0;
        lost += status != 200 && begun.count(id) > 0 ? 1 : 0;
    };
    for (const std::size_t gateway : {1, 2, 3}) {
        std::thread([&, gateway] {
            Client client(site.gateways[gateway]->port, "key1");
            while (!isDone) {
                book(client);
                sleepMs(60);
            }
        }).detach();
    }
    Client client(site.gateways[0]->port, "key1");
    for (int round = 0; round < 14; ++round) {
        const auto id = newId();
        record("crashing request " + id + " sent");
        const int status = client.call("POST", "/book/crash", "the same body", id, 1500);
        record("crashing request " + id + " answered " + std::to_string(status));
        sleepMs(3500);
        for (int seat = 0; seat < 8; ++seat) {
            book(client);
            sleepMs(40);
        }
        sleepMs(1500);
    }
    isDone = true;
    const std::lock_guard lock(mutex);
    const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                    [&](double at) { return crashes.size() >= 3 && at > crashes[2] + touchSeconds; });
    finish(site, late > 3 ? 1 : 0,
           "the crashing request reached replicas " + std::to_string(arrivals.size()) + " times and crashed "
               + std::to_string(crashes.size()) + "; " + std::to_string(late)
               + " of these later than 3 s after the third crash (3 allowed); bookings made " + std::to_string(booked)
               + ", begun and lost " + std::to_string(lost));
}
