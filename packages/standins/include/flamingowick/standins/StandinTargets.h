#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

// Stand-ins for targets: HTTP servers with slots, service times, a ledger of what they ran, and a
// switch for each of the faults that targets have.
namespace flamingowick::standins {

struct TargetFaults {
    // Share of runs that end in status 500.
    double errorShare { 0 };
    // Service times are multiplied by this.
    double slowFactor { 1 };
    // Every run ends in status 500, while /healthz goes on answering 200.
    bool requestsBad { false };
    // When set, the three faults above come and go, each lasting half of the period.
    Duration flapPeriod { 0 };
    // Nothing is read; what has come meanwhile is run when the freeze ends.
    bool freeze { false };
    // Requests are read and run, and nothing is ever sent.
    bool oneWay { false };
    // Runs in flight end; new requests get 503 with "X-Not-Run: draining".
    bool drain { false };
    // Requests above the slots get 503 with "X-Not-Run: shed"; without it they wait.
    bool shed { true };
    // Runs of callers that close their connection are broken off.
    bool acceptCancel { true };
    // A request whose body contains this crashes the target; empty for none.
    std::string crashMark {};
    // How long a crashed target stays away; negative for ever.
    Duration crashDowntime { std::chrono::milliseconds(500) };
    // How long after a start service times go down from slowStartFactor to normal.
    Duration slowStart { 0 };
    double slowStartFactor { 5 };
};

enum class ServiceTimes : std::uint8_t {
    Fixed,
    Exponential,
    LogNormal,
};

struct TargetOptions {
    std::string address { "127.0.0.1" };
    // Targets listen on consecutive ports from here; 0 takes free ones.
    std::uint16_t firstPort { 0 };
    unsigned count { 1 };
    unsigned slots { 2 };
    Duration serviceTime { std::chrono::milliseconds(10) };
    ServiceTimes distribution { ServiceTimes::Exponential };
    std::size_t answerBytes { 0 };
    // Requests that wait for a slot when nothing is shed; more get 503.
    std::size_t maxWaiting { 1000 };
    // Runs that each target's ledger keeps; older ones are dropped and counted.
    std::size_t maxLedger { 20000 };
    std::uint64_t seed { 1 };
};

enum class RunEnd : std::uint8_t {
    // Still running.
    Open,
    Answered,
    // Answered with status 500, or with 504 at the deadline that the request named.
    Failed,
    // Run to its end with no answer sent: the target is one-way or the caller was gone.
    Unanswered,
    Cancelled,
    Crashed,
};

// One run of one request. A request that was shed, refused while draining or only probed is no run.
struct RunRecord {
    std::uint64_t run { 0 };
    // The headers X-Request-Id, Idempotency-Key and X-Nonce.
    std::string requestId;
    std::string key;
    std::string nonce;
    std::string method;
    std::string path;
    RunEnd end { RunEnd::Open };
};

struct TargetLedger {
    std::vector<RunRecord> runs;
    // All runs, those included that the ledger no longer keeps.
    std::uint64_t runCount { 0 };
    std::uint64_t dropped { 0 };
    std::uint64_t shed { 0 };
    std::uint64_t refusedDraining { 0 };
    std::uint64_t probes { 0 };
    std::uint64_t crashes { 0 };
    unsigned running { 0 };
    unsigned maxRunning { 0 };
    unsigned openConnections { 0 };
    unsigned maxConnections { 0 };
};

// A request that names its deadline by the header X-Timeout-Ms is broken off with 504 when it comes; one
// that still waits for a slot then gets 503 with "X-Not-Run: deadline".
//
// Serves all targets from one thread until destroyed. Members may be called from any thread.
// Each target answers /healthz, /control and /control/ledger besides its own paths; a control port
// answers the last two for any target by "?port=", also while that one is frozen.
class StandinTargets {
public:
    // Throws std::system_error when an address can't be listened on.
    explicit StandinTargets(const TargetOptions&);
    ~StandinTargets();
    StandinTargets(const StandinTargets&) = delete;
    StandinTargets& operator=(const StandinTargets&) = delete;

    // Opens the control port; 0 takes a free one. Returns the port. Throws as the constructor.
    std::uint16_t openControl(std::uint16_t port);

    // Returns the targets' ports in order.
    std::vector<std::uint16_t> ports() const;

    // Replaces all faults of one target at once. Unknown ports are ignored.
    void setFaults(std::uint16_t port, const TargetFaults&);

    // Returns the ledger of one target; an empty one for an unknown port.
    TargetLedger ledger(std::uint16_t port) const;

private:
    class Service;
    std::unique_ptr<Service> service;
};

}
