#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/PlatformClient.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <fstream>
#include <iostream>
#include <latch>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unistd.h>

// Measures what following a kind of objects costs a daemon: processor time for each change, memory
// for each object, and the time from a write's start to the watcher's knowing of it.

DEFINE_string(url, "http://127.0.0.1:18080", "base address of a stand-in platform without objects");
DEFINE_uint64(objects, 1000, "objects that are followed");
DEFINE_uint64(object_bytes, 2000, "size of an object's spec");
DEFINE_uint64(changes, 2000, "changes that are made");
DEFINE_double(rate, 200, "changes a second");

namespace {

using namespace flamingowick;
using namespace flamingowick::platform;

constexpr Plural plural = Plural::AcceptedDocuments;

// Processor time of the calling thread in microseconds.
double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double residentKilobytes()
{
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1024;
}

ClientSettings settingsFor(const std::string& vm)
{
    ClientSettings settings;
    settings.url = FLAGS_url;
    settings.vm = vm;
    settings.callTimeout = std::chrono::seconds(20);
    settings.maxCallsPerSecond = 100000;
    settings.maxWaiting = 1U << 20U;
    return settings;
}

Object objectOf(std::uint64_t number, std::string version, std::string changeId)
{
    const std::string spec = R"({"text":")" + std::string(FLAGS_object_bytes, 'x') + "\"}";
    return { plural, "o-" + std::to_string(number), std::move(version), std::move(changeId), "measure", spec };
}

// Objects with their versions and, by change number, when each write began.
struct Writes {
    std::mutex mutex;
    std::vector<std::string> versions;
    std::vector<TimePoint> begun;
    std::atomic<std::uint64_t> failed { 0 };
    std::atomic<std::uint64_t> done { 0 };
};

void takeWrite(Writes& writes, const Result& result)
{
    if (const auto* applied = std::get_if<Applied>(&result)) {
        const std::scoped_lock lock(writes.mutex);
        writes.versions[std::stoull(applied->object.name.substr(2))] = applied->object.resourceVersion;
    } else {
        ++writes.failed;
    }
    ++writes.done;
}

void awaitDone(const Writes& writes, std::uint64_t count)
{
    while (writes.done < count)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (writes.failed > 0)
        throw std::runtime_error("a write failed");
}

// What the watcher's thread notes.
struct Watched {
    std::latch snapshot { 1 };
    double cpuAtSnapshot { 0 };
    std::atomic<double> cpu { 0 };
    std::atomic<std::uint64_t> changes { 0 };
    std::vector<double> delaysMs;
};

void takeWatched(Watched& watched, Writes& writes, const Result& result)
{
    if (std::holds_alternative<WatchSnapshot>(result)) {
        watched.cpuAtSnapshot = threadMicroseconds();
        watched.snapshot.count_down();
    }
    const auto* events = std::get_if<WatchEvents>(&result);
    if (events == nullptr)
        return;
    const TimePoint now = Clock::now();
    for (const WatchEvent& event : events->events) {
        const std::scoped_lock lock(writes.mutex);
        const std::chrono::duration<double, std::milli> delay = now - writes.begun[std::stoull(event.object.changeId)];
        watched.delaysMs.push_back(delay.count());
    }
    watched.cpu = threadMicroseconds();
    watched.changes += events->events.size();
}

void createObjects(PlatformClient& writer, Writes& writes)
{
    writes.versions.resize(FLAGS_objects);
    writes.begun.resize(FLAGS_changes);
    for (std::uint64_t i = 0; i < FLAGS_objects; ++i) {
        if (!writer.submit(Create { i, objectOf(i, "", "") }))
            throw std::runtime_error("too many calls wait");
    }
    awaitDone(writes, FLAGS_objects);
}

void makeChanges(PlatformClient& writer, Writes& writes)
{
    const TimePoint start = Clock::now();
    for (std::uint64_t change = 0; change < FLAGS_changes; ++change) {
        const std::chrono::duration<double> due(static_cast<double>(change) / FLAGS_rate);
        std::this_thread::sleep_until(std::chrono::steady_clock::now() + (start + std::chrono::duration_cast<Duration>(due) - Clock::now()));
        const std::uint64_t number = change % FLAGS_objects;
        std::string version;
        {
            const std::scoped_lock lock(writes.mutex);
            version = writes.versions[number];
            writes.begun[change] = Clock::now();
        }
        if (!writer.submit(Put { change, objectOf(number, version, std::to_string(change)) }))
            throw std::runtime_error("too many calls wait");
    }
    awaitDone(writes, FLAGS_objects + FLAGS_changes);
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void measure()
{
    Writes writes;
    Watched watched;
    PlatformClient writer(settingsFor("writer"), [&writes](const Result& result) { takeWrite(writes, result); });
    createObjects(writer, writes);
    const double residentBefore = residentKilobytes();
    PlatformClient watcher(settingsFor("watcher"), [&](const Result& result) { takeWatched(watched, writes, result); });
    if (!watcher.submit(Watch { 1, plural }))
        throw std::runtime_error("too many calls wait");
    watched.snapshot.wait();
    const double residentAfter = residentKilobytes();
    makeChanges(writer, writes);
    while (watched.changes < FLAGS_changes)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    watcher.stop();
    std::cout << R"({"objects":)" << FLAGS_objects << R"(,"objectBytes":)" << FLAGS_object_bytes
              << R"(,"changes":)" << FLAGS_changes << R"(,"rate":)" << FLAGS_rate
              << R"(,"listCpuMs":)" << watched.cpuAtSnapshot / 1e3
              << R"(,"listResidentKb":)" << residentAfter - residentBefore
              << R"(,"cpuMicrosecondsPerChange":)" << (watched.cpu - watched.cpuAtSnapshot) / static_cast<double>(FLAGS_changes)
              << R"(,"delayMsP50":)" << percentile(watched.delaysMs, 0.5)
              << R"(,"delayMsP99":)" << percentile(watched.delaysMs, 0.99) << "}" << std::endl;
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        measure();
    } catch (const std::exception& error) {
        std::cerr << "measure-platform: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
