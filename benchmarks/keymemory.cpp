// Measures the memory and fold time per idempotency key in a process that follows the key's shard, by number of keys.
// Usage: keymemory

#include "heatherridge_state/keys/keyledger.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>

using namespace Heatherridge;

namespace
{

constexpr std::size_t AnswerBytes = 200; ///< size of a booking confirmation
constexpr std::size_t KeysPerBatch = 10;
constexpr std::size_t Sizes[] = {1'000, 10'000, 50'000, 100'000};

Uuid7 makeKey(std::size_t number)
{
    return Uuid7::make(WallTime(std::chrono::milliseconds(1'000'000 + number)), number, number);
}

/** Returns a batch of @p gate with keys from @p first on; as in practice, each key has one intent and one outcome. */
KeyBatch makeBatch(const GateId &gate, std::uint64_t serial, std::size_t first)
{
    KeyBatch batch{.writer = gate, .serial = serial};
    for (std::size_t number = first; number < first + KeysPerBatch; ++number) {
        batch.records.emplace_back(KeyIntent{.key = makeKey(number), .runner = gate});
        batch.records.emplace_back(KeyOutcome{
            .key = makeKey(number),
            .runner = gate,
            .runState = RunState::Answered,
            .answer = {.status = 201, .contentType = "application/json", .body = std::string(AnswerBytes, 'x')}});
    }
    return batch;
}

void measure(std::size_t keys)
{
    const GateId gate{.process = ProcessName("prenota-1"), .incarnation = static_cast<Incarnation>(1)};
    const auto bytesBefore = mallinfo2().uordblks;
    KeyLedger ledger({});
    KeyBatch claim{.writer = gate, .serial = 1};
    claim.records.emplace_back(KeyClaim{.id = {.holder = gate, .serial = 1}});
    ledger.apply(static_cast<LogOffset>(1), std::move(claim));
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t serial = 1;
    for (std::size_t first = 0; first < keys; first += KeysPerBatch) {
        ++serial;
        ledger.apply(static_cast<LogOffset>(serial), makeBatch(gate, serial, first));
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    const auto usedBytes = static_cast<double>(mallinfo2().uordblks - bytesBefore);
    std::printf("%8zu %10zu %12.0f %14.2f\n", keys, ledger.entries().size(), usedBytes / static_cast<double>(keys),
                elapsed.count() / static_cast<double>(keys));
}

} // namespace

int main()
{
    std::printf("    keys       kept  bytes-a-key  fold-us-a-key   (answers of %zu bytes)\n", AnswerBytes);
    for (const auto keys : Sizes) {
        measure(keys);
    }
    return 0;
}
