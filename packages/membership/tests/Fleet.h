#pragma once

#include "flamingowick/membership/Membership.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// Several membership states joined by messages that can be lost, repeated, late or cut off.
namespace flamingowick::membership {

struct Daemon {
    State state;
    bool running { true };
    bool paused { false };
    // Joined and Lost reports about other VMs, in the order of their making.
    std::map<std::string, unsigned> lostReports;
    std::set<std::string> alive;
};

struct Packet {
    TimePoint due;
    std::string to;
    Incarnation incarnation { 0 };
    MemberInfo from;
    Message message;
};

class Fleet {
public:
    Fleet(unsigned count, std::uint64_t seed, Policy policy = {});

    // Lets time pass in steps of 50 ms.
    void run(Duration);

    void kill(unsigned index) { this->daemons[index].running = false; }
    // The daemon leaves in good order and then stops.
    void leave(unsigned index);
    // Starts a VM's daemon again, as a new incarnation that knows its seeds only.
    void restart(unsigned index);
    void setPaused(unsigned index, bool paused) { this->daemons[index].paused = paused; }
    // Messages from one daemon to another no longer arrive.
    void cut(unsigned from, unsigned to) { this->cuts.insert({ nameOf(from), nameOf(to) }); }
    void healAll();

    // Returns whether every running daemon counts exactly the running ones as alive.
    bool agrees() const;
    // Returns how often a running daemon reported another one, that ran all along, as lost.
    unsigned falseLosses() const;
    // Returns how many running daemons count this one as alive, itself left out.
    unsigned countingAlive(unsigned index) const;

    static std::string nameOf(unsigned index);

    std::vector<Daemon> daemons;
    double loss { 0 };
    double repeat { 0 };
    TimePoint now { std::chrono::hours(1) };
    std::mt19937_64 random;

private:
    void start(unsigned index);
    void step(unsigned index, const Event&);
    void deliver();
    bool isCut(const std::string& from, const std::string& to) const { return this->cuts.contains({ from, to }); }

    Policy policy;
    Incarnation incarnations { 100 };
    std::set<std::pair<std::string, std::string>> cuts;
    std::vector<Packet> packets;
    // Daemons that were killed or paused at any time.
    std::set<std::string> disturbed;
};

}
