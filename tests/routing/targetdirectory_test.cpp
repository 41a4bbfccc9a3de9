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
    record.entry.startedAt = std::chrono::sys_time<std::chrono::milliseconds>(startedAt);
    return record;
}

struct DirectoryRow
{
    const char *description;
    std::function<void(TargetDirectory &)> action;
    const char *expectedIds; ///< ids in use afterwards
};

const DirectoryRow DirectoryRows[] = {
    {"an entry removed while the register is stable is dropped immediately",
     [](auto &directory) { directory.remove(TargetName("a"), Start + 1s); }, "b "},
    // Guards against a service without targets for two seconds after each outage of the register, in which callers are
    // refused: the register receives no heartbeats while it is down, so it drops targets that still serve.
    {"an entry removed during an outage is kept",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.remove(TargetName("a"), Start + 2s);
     },
     "a b "},
    {"an entry removed shortly after an outage is kept",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.expireLapsed(Start + 6s);
     },
     "a b "},
    {"an entry that is still missing after the grace period is dropped",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.expireLapsed(Start + 5s + TargetDirectory::LapseGrace);
     },
     "b "},
    {"an entry that returns within the grace period is kept",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.noteRegisterReadable(Start + 5s);
         directory.replaceAll({makeRecord("b", 2)}, Start + 5s);
         directory.put(makeRecord("a", 1), Start + 2s);
         directory.expireLapsed(Start + 20s);
     },
     "a b "},
    {"a draining entry is dropped immediately, even during an outage",
     [](auto &directory) {
         directory.noteRegisterUnreadable(Start + 1s);
         directory.put(makeRecord("a", 1, true), Start + 2s);
         directory.remove(TargetName("a"), Start + 2s);
     },
     "b "},
    // Guards against requests and orders to a previous run, which are refused (a third of all after a power loss): a
    // target that lost power returns under a new id while its previous run is still registered.
    {"an address belongs to the target that registered there last",
     [](auto &directory) { directory.put(makeRecord("c", 1), Start + 2s); }, "b c "},
    {"the order of records in a complete register decides as well",
     [](auto &directory) {
         directory.replaceAll({makeRecord("d", 2), makeRecord("a", 1), makeRecord("b", 2)}, Start + 1s);
     },
     "a b "},
    // Guards against new work for a departed target that a restored copy of the register still lists as ready.
    {"a departed target stays removed after a restore",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.replaceAll({withRevision(makeRecord("a", 1), 8), withRevision(makeRecord("b", 2), 9)}, Start + 3s);
     },
     "b "},
    {"a draining target stays draining after a restore",
     [](auto &directory) {
         directory.put(withRevision(makeRecord("a", 1, true), 10), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 9), Start + 3s);
         directory.remove(TargetName("a"), Start + 3s); // only a draining target is dropped immediately
     },
     "b "},
    {"a departed target that writes its entry again is added",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 11), Start + 3s);
     },
     "a b "},
    {"a new run under the id of a departed target is added",
     [](auto &directory) {
         directory.remove(TargetName("a"), Start + 1s);
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 1, 5'000ms), Start + 3s);
     },
     "a b "},
    // Guards against dropping targets that registered after the copy was made.
    {"a target that is missing in the copy is kept until it has had time to write its entry",
     [](auto &directory) {
         directory.noteRegisterRestored(Start + 2s);
         directory.replaceAll({withRevision(makeRecord("b", 2), 9)}, Start + 3s);
         directory.expireLapsed(Start + 4s);
     },
     "a b "},
    {"an earlier run at the same address does not replace the current one",
     [](auto &directory) {
         directory.put(withRevision(makeRecord("c", 1), 1), Start + 1s); // takes the address of a
         directory.noteRegisterRestored(Start + 2s);
         directory.put(withRevision(makeRecord("a", 1), 9), Start + 3s);
     },
     "b c "},
    {"after the restore grace period, all entries are accepted again",
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
