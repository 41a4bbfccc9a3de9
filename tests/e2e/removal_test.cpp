#include "support/testsite.h"

#include <gtest/gtest.h>

#include <future>

using namespace Heatherridge;

namespace
{

// A target's section is removed from the inventory while the target processes a booking. The running request must
// complete and its caller must get the confirmation. Guards against the entry closing its connection to the target as
// soon as the section is removed, so that the caller gets the answer that the outcome is unknown.
TEST(RemovedTarget, CompletesTheRunningBooking)
{
    TestSite site({.engines = 1, .plainServices = 1, .entries = 1});
    call(site.plain(0), "POST", "/faults", R"({"delay-ms": 1500})");
    auto booking = std::async(std::launch::async, [&site] {
        return call(site.entry(0), "POST", "/services/yard-app/bookings", "load-9",
                    {{.name = "X-Workspace", .value = "mills"}});
    });
    while (call(site.entry(0), "GET", "/admin/targets").body.find("\"running\":1") == std::string::npos) {
    } // ctest's time limit fails the test if the request never starts
    site.publish("inventory", "[zone.a]\nregion = r\n");
    const auto answer = booking.get();
    EXPECT_EQ(answer.status, 201) << answer.body;
    EXPECT_EQ(call(site.entry(0), "POST", "/services/yard-app/bookings", "load-10",
                   {{.name = "X-Workspace", .value = "mills"}})
                  .status,
              404);
}

} // namespace
