#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

#include <functional>
#include <queue>
#include <random>
#include <string>

// Simulated time, targets and callers; shared by all benchmarks.
namespace flamingowick::dispatch::bench {

struct ScheduledEvent {
    TimePoint at;
    std::uint64_t sequence { 0 };
    std::function<void()> callback;

    bool operator>(const ScheduledEvent& other) const
    {
        return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
    }
};

struct Loop {
    TimePoint now { std::chrono::hours(1) };
    std::uint64_t sequence { 0 };
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events;
};

// Schedules the callback to run after the delay.
void after(Loop&, Duration delay, std::function<void()> callback);

// Runs scheduled events until the given time, or until none are left.
void runUntil(Loop&, TimePoint);

// A group of callers with the same load.
struct CallerGroup {
    std::string name;
    unsigned callers { 1 };
    // Requests per second of each caller.
    double rate { 0 };
    Duration meanService { std::chrono::milliseconds(40) };
};

struct Scenario {
    std::string service;
    unsigned targets { 6 };
    unsigned slots { 2 };
    // One-way network latency between two VMs of the system.
    Duration hop { std::chrono::milliseconds(1) };
    std::vector<CallerGroup> groups;
    // How often a caller resends a failed request.
    unsigned resends { 0 };
    // Share of requests that a target answers with an error: a healthy one, and a faulty one during the fault.
    double errorShare { 0.01 };
    double faultShare { 0.5 };
    bool retryBudget { true };
    std::uint64_t seed { 1 };
    Duration length { std::chrono::seconds(60) };
};

// A logical request of a caller, which spans its resends.
struct Call {
    std::size_t group { 0 };
    std::string caller;
    TimePoint firstSent;
    TimePoint sent;
    unsigned resendsLeft { 0 };
    Duration service { 0 };
};

struct GroupResult {
    std::string name;
    std::uint64_t calls { 0 };
    std::uint64_t succeeded { 0 };
    // Latency of the successful sends, less the service time.
    std::vector<double> addedMilliseconds;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byCaller;
};

struct Measurement {
    std::vector<GroupResult> groups;
    std::uint64_t sends { 0 };
    std::uint64_t attempts { 0 };
    std::uint64_t overruns { 0 };
    std::uint64_t revocations { 0 };
    // The highest number of connections that any target had open.
    unsigned connections { 0 };
    Duration wasted { 0 };
};

// The simulated targets. Each runs as many requests as it has slots, and sheds requests beyond that.
struct Backend {
    std::vector<unsigned> busy;
    // Open connections by target and by VM: the number in use, and the highest number ever in use at once, which is the
    // number open since connections are never closed.
    std::vector<std::map<unsigned, std::pair<unsigned, unsigned>>> connections;
};

struct Simulation {
    Scenario scenario;
    Loop loop;
    std::mt19937_64 random;
    Backend backend;
    Measurement measured;
    // Passes one send to the system under test.
    std::function<void(const Call&)> send;
};

// Starts the simulated callers. Simulation::send must be set before the loop runs.
void startCallers(Simulation&);

// Starts an attempt of the call from the VM at the target; done is called with the result when it ends. Returns a
// function that cancels the attempt; done is then not called.
std::function<void()> attempt(Simulation&, unsigned vm, unsigned target, const Call&, std::function<void(AttemptResult)> done);

// Records the result of a send, and schedules a resend if it failed and resends are left. added is the latency beyond
// the service time.
void concludeSend(Simulation&, const Call&, bool succeeded, Duration added);

double uniform(Simulation&);

}
