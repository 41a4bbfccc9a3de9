// Measures what the agreed configuration costs a single process, by number of targets: folding a change, computing the
// digest, the size of a snapshot, and starting from a snapshot. Usage: configfold

#include "heatherridge_coordination/config/configreplica.h"
#include "heatherridge_protocol/configimagecodec.h"
#include "heatherridge_protocol/controlrecordcodec.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

using namespace Heatherridge;

namespace
{

constexpr int Repeats = 20;
constexpr int KiBPerMiB = 1024;

std::string makeTargetSection(int index, int concurrency)
{
    const auto number = std::to_string(index);
    std::string text = "[target.chip-llm-" + number + "]\nhost = jm-south-" + number + "\nzone = zone-"
        + std::to_string(index % 7) + "\nservice = chip-llm\nmodels = chip-70b, chip-70b-clauses\n";
    text += "gate = 10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
        + std::to_string(index % 256) + ":7100\nbackend = 127.0.0.1:8000\ngroup = group-" + std::to_string(index / 8)
        + "\nrank = " + std::to_string(index % 8) + "\nexpert-slots = 8\nconcurrency = " + std::to_string(concurrency)
        + "\n";
    return text;
}

std::string makeInventory(int targets)
{
    std::string text;
    for (int zone = 0; zone < 7; ++zone) {
        text += "[zone.zone-" + std::to_string(zone) + "]\nregion = r\n";
    }
    for (int i = 0; i < targets; ++i) {
        text += makeTargetSection(i, 0);
    }
    return text;
}

RelayedRecord makeRecord(std::uint64_t offset, DocumentContent content)
{
    return {.offset = static_cast<LogOffset>(offset),
            .payload = encodeControlRecord(Publish{.document = DocumentKind::Inventory,
                                                   .operation = OperationId("op-" + std::to_string(offset)),
                                                   .basedOn = static_cast<LogOffset>(offset - 1),
                                                   .content = std::move(content)})};
}

template<typename Work>
double measureMilliseconds(const Work &work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

/** Returns the resident memory of this process, in KiB. */
long residentKiB()
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            long size = 0;
            status >> size;
            return size;
        }
    }
    return 0;
}

void measure(int targets)
{
    const auto residentBefore = residentKiB();
    ConfigReplica replica;
    std::uint64_t offset = 1;
    const auto wholeRecord = makeRecord(offset, WholeDocument{makeInventory(targets)});
    const auto foldWholeMs = measureMilliseconds([&] { replica.receive(wholeRecord); });
    double foldMs = 0;
    double digestMs = 0;
    std::size_t changeBytes = 0;
    for (int i = 0; i < Repeats; ++i) {
        const auto changeRecord = makeRecord(++offset, DocumentChange{makeTargetSection(i % targets, i + 1), {}});
        changeBytes = changeRecord.payload.size();
        foldMs += measureMilliseconds([&] { replica.receive(changeRecord); });
        digestMs += measureMilliseconds([&] { replica.state().digest(); });
    }
    const auto imageBytes = encodeConfigImage(replica.state().image());
    const auto adoptMs = measureMilliseconds([&] {
        auto image = decodeConfigImage(imageBytes);
        ConfigReplica newReplica;
        newReplica.adopt(std::get<ConfigImage>(image), replica.state().digest());
    });
    std::printf("%7d %11zu %12zu %14.1f %12.2f %10.2f %11zu %12.1f %11ld\n", targets, wholeRecord.payload.size(),
                changeBytes, foldWholeMs, foldMs / Repeats, digestMs / Repeats, imageBytes.size(), adoptMs,
                (residentKiB() - residentBefore) / KiBPerMiB);
}

} // namespace

int main()
{
    std::printf("targets whole-bytes change-bytes fold-whole-ms fold-change-ms digest-ms image-bytes adopt-image-ms "
                "memory-MiB\n");
    for (const int targets : {16, 128, 1024, 4800}) {
        measure(targets);
    }
    return 0;
}
