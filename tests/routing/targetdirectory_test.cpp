#include "heatherridge_state/routing/targetdirectory.h"

#include <gtest/gtest.h>

#include <functional>

using namespace Heatherridge;
using namespace std::chrono_literals;

namespace
{

const SteadyTime Start{};

TargetRecord makeRecord(const char *id, int port, bool isDraining = false)
{
    return {
        .entry = {.id = TargetName(id), .address = {.address = "10.0.0.1", .port = port}, .isDraining = isDraining}};
}

std::string joinIds(const TargetDirectory &directory)
{
    std::string ids;
    for (const auto &target : directory.targets()) {
        ids += target.id.text() + " ";
    }
    return ids;
}

TargetRecord withRevision(TargetRecord record, std::uint64_t revision, std::chrono::milliseconds startedAt = 0ms)
{
    record.revision = revision;
    record.startedAt = std::chrono::sys_time<std::chrono::milliseconds>(startedAt);
    return record;
}

struct DirectoryRow
{
    const char *description;
    std::function<void(TargetDirectory &)> action;
    const char *expectedIds; ///< ids that are used afterwards
};

const DirectoryRow DirectoryRows[] = {
    {"an entry that goes in calm times goes at once",
     [](auto &directory) { directory.remove(TargetName("a"), Start + 1s); }, "b "},
    // The register cannot take heartbeats while it is down, so it drops targets that serve. Taken at its word, a
    // service has no target for two seconds after each outage, and callers are refused.
    {"an entry that goes during an outage stays",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.remove(TargetName("a"), Start + 2s);
     },
     "a b "},
    {"and just after it",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.expireLapsed(Start + 6s);
     },
     "a b "},
    {"until it has not come back for the grace",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.expireLapsed(Start + 5s + TargetDirectory::LapseGrace);
     },
     "b "},
    {"one that comes back in time stays",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.put(makeRecord("a", 1), Start + 2s);
         directory.expireLapsed(Start + 20s);
     },
     "a b "},
    {"one that drains goes at once, outage or not",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.put(makeRecord("a", 1, true), Start + 2s);
         directory.remove(TargetName("a"), Start + 2s);
     },
     "b "},
    // A target that lost its power comes back under another id while its last run is still registered. Requests and
    // orders to the last run are refused, a third of all after a loss of power.
    {"an address belongs to who registered there last",
     [](auto &directory) { directory.put(makeRecord("c", 1), Start + 2s); }, "b c "},
    {"also in the order of a whole register",
     [](auto &directory) {
         directory.replaceAll({makeRecord("d", 2), makeRecord("a", 1), makeRecord("b", 2)}, Start + 1s);
     },
     "a b "},
    // Guards against new work for a target that has left, since a copy of the register still shows it as ready.
    {"one that has left stays away",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.replaceAll({withRevision(makeRecord("a", 1), 8), withRevision(makeRecord("b", 2), 9)}, Start + 3s);
     },
     "b "},
    {"one that drains goes on draining",
     [](auto &directory) {
         directory.put(withRevision(makeRecord("a", 1, true), 10), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 9), Start + 3s);
         directory.remove(TargetName("a"), Start + 3s); // only one that drains goes at once
     },
     "b "},
    {"one that writes again is back",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 11), Start + 3s);
     },
     "a b "},
    {"so is another run under the same id",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 1, 5'000ms), Start + 3s);
     },
     "a b "},
    // Guards against losing the targets that registered after the copy was made.
    {"one that the copy does not know stays until it has had time to write",
     [](auto &directory) {
         directory.noteRegisterRestored(Start + 2s);
         directory.replaceAll({withRevision(makeRecord("b", 2), 9)}, Start + 3s);
         directory.expireLapsed(Start + 4s);
     },
     "a b "},
    {"an earlier run at its address does not take its place",
     [](auto &directory) {
         directory.put(withRevision(makeRecord("c", 1), 1), Start + 1s); // takes the address of a
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 9), Start + 3s);
     },
     "b c "},
    {"later the register is believed again",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 9), Start + 2s + TargetDirectory::RestoreGrace);
     },
     "a b "},
};

class Directory : public testing::TestWithParam<DirectoryRow>
{
};

TEST_P(Directory, RetainsServingTargets)
{
    TargetDirectory directory;
    directory.noteRegisterReadable(Start);
    directory.replaceAll({withRevision(makeRecord("a", 1), 10), withRevision(makeRecord("b", 2), 10)}, Start);
    GetParam().action(directory);
    EXPECT_EQ(joinIds(directory), GetParam().expectedIds) << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(All, Directory, testing::ValuesIn(DirectoryRows));

} // namespace
