#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <new>

/// \file
/// \brief Cost of a changed target, counted in memory allocations, which unlike time are the same on each machine.

namespace {

thread_local std::size_t allocations = 0;

} // namespace

// These replace the global functions of the test program.
void* operator new(std::size_t size)
{
    ++allocations;
    if (void* block = std::malloc(size == 0 ? 1 : size))
        return block;
    throw std::bad_alloc();
}
void operator delete(void* block) noexcept { std::free(block); }
void operator delete(void* block, std::size_t) noexcept { std::free(block); }

namespace arbutuscrank::entry::test {

namespace {

    /// Number of changes over which the cost is averaged.
    constexpr std::size_t changes = 16;

    TargetRecord makeColdTarget(std::size_t number)
    {
        auto record = makeTarget("target-that-is-cold-" + std::to_string(number));
        record.coldRemaining = seconds(30);
        return record;
    }

    /// Allocations for each target that is added while a number of targets is cold.
    std::size_t allocationsPerChange(std::size_t coldTargets, std::size_t vms)
    {
        Entry entry;
        std::vector<MemberRecord> members;
        for (std::size_t i = 0; i < vms; ++i)
            members.push_back({ .process = { "vm-of-the-region-" + std::to_string(i), 1 }, .region = "north" });
        entry.handle(MembersListed { std::move(members) });
        std::vector<TargetRecord> targets;
        for (std::size_t i = 0; i < coldTargets; ++i)
            targets.push_back(makeColdTarget(i));
        entry.handle(TargetsListed { std::move(targets) });
        entry.handle(Tick {});
        entry.effects.clear();
        std::vector<TargetChanged> events;
        for (std::size_t i = 0; i < changes; ++i)
            events.push_back({ makeColdTarget(coldTargets + i) });
        const auto before = allocations;
        for (const auto& event : events)
            entry.handle(event);
        return (allocations - before) / changes;
    }

} // namespace

// Guards against a VM that falls seconds behind, and then sends requests to draining targets, when many targets are
// added at once.
TEST(ChangeCostFailure, ChangedTargetCostsTheSameInALargeFleet)
{
    const auto small = allocationsPerChange(10, 5);
    const auto large = allocationsPerChange(400, 80);
    EXPECT_LE(large, 2 * small) << "allocations for each added target";
}

} // namespace arbutuscrank::entry::test
