#include "heatherridge_state/decisions/runrecord.h"

#include <gtest/gtest.h>

using namespace Heatherridge;

namespace
{

struct CauseCase
{
    const char *name;
    ResourceUse use;
    std::uint64_t handlerFailures;
    EndCause cause;
};

const CauseCase CauseCases[] = {
    {"NothingKnown", {}, 0, EndCause::Unknown},
    {"NothingNear",
     {.peakMemory = 74, .memoryLimit = 100, .descriptors = 74, .descriptorLimit = 100},
     0,
     EndCause::Unknown},
    {"HighMemory", {.peakMemory = 75, .memoryLimit = 100}, 0, EndCause::Memory},
    {"MemoryBeyondItsLimit", {.peakMemory = 300, .memoryLimit = 100}, 0, EndCause::Memory},
    {"HighDescriptors", {.descriptors = 75, .descriptorLimit = 100}, 0, EndCause::Descriptors},
    {"CriticalDescriptorsBeforeHighMemory",
     {.peakMemory = 89, .memoryLimit = 100, .descriptors = 90, .descriptorLimit = 100},
     0,
     EndCause::Descriptors},
    {"CriticalMemoryBeforeHighDescriptors",
     {.peakMemory = 90, .memoryLimit = 100, .descriptors = 89, .descriptorLimit = 100},
     0,
     EndCause::Memory},
    {"BothCritical",
     {.peakMemory = 90, .memoryLimit = 100, .descriptors = 100, .descriptorLimit = 100},
     0,
     EndCause::Memory},
    {"Failure", {.peakMemory = 10, .memoryLimit = 100}, 1, EndCause::Failure},
    {"FailureBeforeHighMemory", {.peakMemory = 89, .memoryLimit = 100}, 1, EndCause::Failure},
    {"CriticalMemoryBeforeFailure", {.peakMemory = 90, .memoryLimit = 100}, 1, EndCause::Memory},
    {"CriticalDescriptorsBeforeFailure", {.descriptors = 90, .descriptorLimit = 100}, 1, EndCause::Descriptors},
    {"UnknownLimits", {.peakMemory = 1'000'000'000, .descriptors = 1'000'000}, 0, EndCause::Unknown},
    {"LargestNumbers", {.peakMemory = UINT64_MAX, .memoryLimit = UINT64_MAX}, 0, EndCause::Memory},
};

class EndCauses : public testing::TestWithParam<CauseCase>
{
};

// Guards against a wrong cause of an end that nobody ordered.
TEST_P(EndCauses, FollowFromTheRecord)
{
    const RunRecord record{.use = GetParam().use, .handlerFailures = GetParam().handlerFailures};
    EXPECT_EQ(toString(probableCause(record)), toString(GetParam().cause));
}

INSTANTIATE_TEST_SUITE_P(All, EndCauses, testing::ValuesIn(CauseCases),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
