#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

#include <functional>
#include <queue>
#include <random>
#include <string>

// Simulated time, targets and callers that all measurements share.
namespace flamingowick::dispatch::bench {

struct Happening {
    TimePoint at;
    std::uint64_t sequence { 0 };
    std::function<void()> what;

    bool operator>(const Happening& other) const
    {
        return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
    }
};

struct Loop {
    TimePoint now { std::chrono::hours(1) };
    std::uint64_t sequence { 0 };
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> agenda;
};

// Runs what after the delay.
void after(Loop&, Duration delay, std::function<void()> what);

// Runs until the time has come or nothing is left to do.
void runUntil(Loop&, TimePoint);

// Callers of one kind.
struct Crowd {
    std::string name;
    unsigned callers { 1 };
    // Requests per second of each.
    double rate { 0 };
    Duration meanService { std::chrono::milliseconds(40) };
};

struct Scenario {
    std::string service;
    unsigned targets { 6 };
    unsigned slots { 2 };
    // One way between two of the system's VMs.
    Duration hop { std::chrono::milliseconds(1) };
    std::vector<Crowd> crowds;
    // How often a caller sends a failed request again.
    unsigned resends { 0 };
    // Share of requests that the targets answer with an error, and that share during the fault.
    double errorShare { 0.01 };
    double faultShare { 0.5 };
    bool retryBudget { true };
    std::uint64_t seed { 1 };
    Duration length { std::chrono::seconds(60) };
};

// What a caller wants, over all its sends.
struct Call {
    std::size_t crowd { 0 };
    std::string caller;
    TimePoint firstSent;
    TimePoint sent;
    unsigned resendsLeft { 0 };
    Duration service { 0 };
};

struct CrowdResult {
    std::string name;
    std::uint64_t calls { 0 };
    std::uint64_t succeeded { 0 };
    // Time from send to answer without the service time, of successful sends.
    std::vector<double> addedMilliseconds;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> byCaller;
};

struct Measured {
    std::vector<CrowdResult> crowds;
    std::uint64_t sends { 0 };
    std::uint64_t attempts { 0 };
    std::uint64_t overruns { 0 };
    std::uint64_t revocations { 0 };
    // Most connections that one target had open.
    unsigned connections { 0 };
    Duration wasted { 0 };
};

// Targets that work on as many requests as they have slots and shed what exceeds them.
struct Backend {
    std::vector<unsigned> busy;
    // Open connections by target and by the VM that keeps them: those in use and the most ever in use.
    std::vector<std::map<unsigned, std::pair<unsigned, unsigned>>> connections;
};

struct Simulation {
    Scenario scenario;
    Loop loop;
    std::mt19937_64 random;
    Backend backend;
    Measured measured;
    // Passes one send on to the system under measurement.
    std::function<void(const Call&)> send;
};

// Makes a simulation whose callers send from now on; the caller sets send before it runs.
void startCallers(Simulation&);

// Lets VM vm attempt the call at the target; done gets the result at its time. Returns a function
// that stops the attempt: done is then not called.
std::function<void()> attempt(Simulation&, unsigned vm, unsigned target, const Call&, std::function<void(AttemptResult)> done);

// Takes the answer to a send. added is the time it took beyond the service time.
void concludeSend(Simulation&, const Call&, bool succeeded, Duration added);

double uniform(Simulation&);

}
