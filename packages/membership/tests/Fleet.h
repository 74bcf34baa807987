#pragma once

#include "flamingowick/membership/Membership.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Simulates a fleet of membership states, with messages that can be lost, duplicated, delayed or blocked by a
// partition.
namespace flamingowick::membership {

struct Daemon {
    State state;
    bool running { true };
    bool paused { false };
    // The number of Lost reports of this daemon by VM.
    std::map<std::string, unsigned> lostReports;
    // The VMs for which this daemon reported Joined last, and not Lost.
    std::set<std::string> alive;
};

struct Packet {
    TimePoint deliverAt;
    std::string to;
    Incarnation incarnation { 0 };
    MemberInfo from;
    Message message;
};

class Fleet {
public:
    Fleet(unsigned count, std::uint64_t seed, Policy policy = {});

    // Advances the simulated time in steps of 50 ms.
    void run(Duration);

    void kill(unsigned index) { this->daemons[index].running = false; }
    // Announces that the daemon leaves, and stops it.
    void leave(unsigned index);
    // Starts a new incarnation of the daemon, which knows only its seeds.
    void restart(unsigned index);
    void setPaused(unsigned index, bool paused) { this->daemons[index].paused = paused; }
    // Blocks messages from one daemon to another.
    void blockLink(unsigned from, unsigned to) { this->blockedLinks.insert({ nameOf(from), nameOf(to) }); }
    // Ends all partitions, message faults and pauses, and restarts the daemons that have stopped.
    void healAll();

    // Returns whether every running daemon counts exactly the running daemons as alive.
    bool hasConverged() const;
    // Returns how often daemons reported a VM as lost that was never stopped, paused or restarted.
    unsigned falseLossCount() const;
    // Returns how many other running daemons count this one as alive.
    unsigned observersCountingAlive(unsigned index) const;

    static std::string nameOf(unsigned index);

    std::vector<Daemon> daemons;
    double lossProbability { 0 };
    double duplicationProbability { 0 };
    TimePoint now { std::chrono::hours(1) };
    std::mt19937_64 random;

private:
    void start(unsigned index);
    void step(unsigned index, const Event&);
    void deliver();
    bool isBlocked(const std::string& from, const std::string& to) const { return this->blockedLinks.contains({ from, to }); }

    Policy policy;
    Incarnation lastIncarnation { 100 };
    std::set<std::pair<std::string, std::string>> blockedLinks;
    std::vector<Packet> packets;
    // Daemons that were stopped, paused or restarted at any time.
    std::set<std::string> disturbed;
};

}
