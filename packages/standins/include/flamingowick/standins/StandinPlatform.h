#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

// A stand-in for the platform's object API, in memory, with a switch for each of its faults.
namespace flamingowick::standins {

struct PlatformFaults {
    // Every connection to the API is closed without an answer and nothing takes effect.
    bool outage { false };
    // Answers come so much later. A write takes effect before or after the wait, by chance.
    Duration slow { 0 };
    // Probability that a write takes effect and its connection is closed without an answer.
    double loseAnswers { 0 };
    // Probability that a write has no effect and its connection is closed without an answer.
    double dropCalls { 0 };
    // Reads and watches of target and VM lists show changes so much later.
    Duration listLag { 0 };
    // Clients, by their X-Vm header or IP number, whose calls are read and never answered.
    std::vector<std::string> deaf {};
    // Calls above this rate are refused with 429; 0 for no limit.
    unsigned maxCallsPerSecond { 0 };
};

struct PlatformCounters {
    std::uint64_t calls { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t refused { 0 };
    // The most calls that came in any one second of the clock.
    std::uint64_t peakCallsPerSecond { 0 };
    // Watches begun and watches open at present, by plural.
    std::map<std::string, std::uint64_t> watches;
    std::map<std::string, std::uint64_t> openWatches;
};

struct PlatformStandinOptions {
    std::string address { "127.0.0.1" };
    // 0 takes a free port.
    std::uint16_t port { 0 };
    std::uint64_t seed { 1 };
    // Events of one kind kept for watches.
    std::size_t maxHistory { 4096 };
};

// Serves the API from a thread of its own until destroyed. Members may be called from any thread.
class StandinPlatform {
public:
    // Throws std::system_error when the address can't be listened on.
    explicit StandinPlatform(const PlatformStandinOptions&);
    ~StandinPlatform();
    StandinPlatform(const StandinPlatform&) = delete;
    StandinPlatform& operator=(const StandinPlatform&) = delete;

    std::uint16_t port() const noexcept;

    // Returns "http://address:port".
    std::string url() const;

    // Replaces all faults at once.
    void setFaults(const PlatformFaults&);

    PlatformCounters counters() const;

    // Returns the change ids of the last writes that took effect, oldest first; 200,000 at most.
    std::vector<std::string> appliedChanges() const;

    // Closes all open connections, watches included.
    void dropConnections();

private:
    class Service;
    std::unique_ptr<Service> service;
};

}
