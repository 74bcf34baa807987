#include "flamingowick/keys/KeyMachine.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

// Measures the memory and CPU time of the key machine at several table sizes, for the capacity page.
namespace {

using namespace flamingowick;
using namespace flamingowick::keys;

constexpr std::size_t ticks = 200;
constexpr std::size_t requestsPerRange = 50;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

double nanosecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

RangeId rangeIdAt(std::size_t number)
{
    return { "service-" + std::to_string(number / defaultRangesPerService), static_cast<std::uint32_t>(number % defaultRangesPerService) };
}

void claimRange(State& state, const RangeId& id, TimePoint now)
{
    handle(state, ClaimWanted { id }, now);
    std::vector<Action> actions = handle(state, RecordRead { id, ReadResult::Absent, {} }, now);
    const auto& write = std::get<WriteRecord>(actions.front());
    handle(state, RecordWritten { id, write.record.changeId, WriteResult::Applied, "1" }, now);
}

void runRequest(State& state, const RangeId& id, std::size_t number, TimePoint now)
{
    KeyedRequest message;
    message.request.id = { { "entry", 1 }, number };
    message.request.service = id.service;
    message.request.caller = "organisation-000000";
    message.request.idempotencyKey = "019af6f7-d12e-7857-8b19-" + std::to_string(100000000000 + number);
    message.request.deadline = now + std::chrono::seconds(10);
    message.range = id;
    message.epoch = 1;
    message.owner = state.self;
    message.ownerStamp = now;
    message.wall = { 1765080027438, now, Duration(0) };
    handle(state, message, now);
    Answer answer;
    answer.status = 201;
    answer.body = std::string(200, 'x');
    handle(state, DispatchFinished { message.request.id, answer }, now);
}

void measureTable(std::size_t ranges)
{
    TimePoint now { std::chrono::hours(1) };
    State state;
    state.self = { "vm1", 100 };
    handle(state, Tick { { 1765080027438, now, Duration(0) } }, now);
    std::size_t bytesWhenEmpty = heapBytes();
    for (std::size_t number = 0; number < ranges; ++number)
        claimRange(state, rangeIdAt(number), now);
    std::size_t bytesWithRanges = heapBytes();
    auto startedAt = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < ranges * requestsPerRange; ++number)
        runRequest(state, rangeIdAt(number % ranges), number, now);
    double perRequest = nanosecondsSince(startedAt) / static_cast<double>(ranges * requestsPerRange);
    std::size_t bytesWithEntries = heapBytes();
    startedAt = std::chrono::steady_clock::now();
    for (std::size_t tick = 0; tick < ticks; ++tick)
        handle(state, Tick { { 1765080027438, now, Duration(0) } }, now);
    double perTick = nanosecondsSince(startedAt) / static_cast<double>(ticks);
    std::printf("%8zu %8zu %12.0f %12.0f %14.0f %12.0f\n", ranges, state.table.entryCount, static_cast<double>(bytesWithRanges - bytesWhenEmpty) / static_cast<double>(ranges),
        static_cast<double>(bytesWithEntries - bytesWithRanges) / static_cast<double>(state.table.entryCount), perRequest, perTick);
}

}

int main()
{
    std::printf("%8s %8s %12s %12s %14s %12s\n", "ranges", "entries", "B per range", "B per entry", "ns per request", "ns per tick");
    for (std::size_t ranges : { 8U, 40U, 200U, 600U })
        measureTable(ranges);
}
