#include "Fleet.h"

namespace flamingowick::membership {

namespace {

    constexpr std::chrono::milliseconds stepTime { 50 };

    std::string addressOf(unsigned index) { return "127.0.0.1:" + std::to_string(1000 + index); }

}

Fleet::Fleet(unsigned count, std::uint64_t seed, Policy fleetPolicy)
    : daemons(count)
    , random(seed)
    , policy(fleetPolicy)
{
    for (unsigned index = 0; index < count; ++index)
        this->start(index);
}

std::string Fleet::nameOf(unsigned index) { return "vm-" + std::to_string(index); }

void Fleet::start(unsigned index)
{
    MemberInfo self { { nameOf(index), ++this->lastIncarnation }, "domain", addressOf(index) };
    Daemon daemon;
    daemon.state = makeState(self, { addressOf(0), addressOf(1) }, this->random(), this->now);
    daemon.state.policy = this->policy;
    this->daemons[index] = std::move(daemon);
}

void Fleet::leave(unsigned index)
{
    this->step(index, Leave {});
    this->kill(index);
}

void Fleet::restart(unsigned index)
{
    this->disturbed.insert(nameOf(index));
    this->start(index);
}

void Fleet::healAll()
{
    this->blockedLinks.clear();
    this->lossProbability = 0;
    this->duplicationProbability = 0;
    for (unsigned index = 0; index < this->daemons.size(); ++index) {
        this->daemons[index].paused = false;
        if (!this->daemons[index].running)
            this->restart(index);
    }
}

void Fleet::step(unsigned index, const Event& event)
{
    Daemon& daemon = this->daemons[index];
    for (Action& action : handle(daemon.state, event, this->now)) {
        if (auto* joined = std::get_if<Joined>(&action)) {
            daemon.alive.insert(joined->member.id.vm);
        } else if (auto* lost = std::get_if<Lost>(&action)) {
            daemon.alive.erase(lost->member.id.vm);
            ++daemon.lostReports[lost->member.id.vm];
        } else if (auto* send = std::get_if<Send>(&action)) {
            std::uniform_real_distribution<double> chance(0, 1);
            if (chance(this->random) < this->lossProbability)
                continue;
            unsigned copies = chance(this->random) < this->duplicationProbability ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy) {
                Duration delay = std::chrono::milliseconds(this->random() % 100);
                this->packets.push_back({ this->now + delay, send->address, send->incarnation, daemon.state.own.member, send->message });
            }
        }
    }
}

void Fleet::deliver()
{
    std::vector<Packet> due;
    std::erase_if(this->packets, [&](Packet& packet) {
        if (packet.deliverAt > this->now)
            return false;
        due.push_back(std::move(packet));
        return true;
    });
    for (Packet& packet : due) {
        for (unsigned index = 0; index < this->daemons.size(); ++index) {
            Daemon& daemon = this->daemons[index];
            const MemberInfo& self = daemon.state.own.member;
            if (self.address != packet.to || !daemon.running || this->isBlocked(packet.from.id.vm, self.id.vm))
                continue;
            if (daemon.paused)
                this->packets.push_back({ this->now + std::chrono::milliseconds(500), packet.to, packet.incarnation, packet.from, packet.message });
            else if (packet.incarnation == 0 || packet.incarnation == self.id.incarnation)
                this->step(index, MessageReceived { packet.from, packet.message });
        }
    }
}

void Fleet::run(Duration duration)
{
    TimePoint end = this->now + duration;
    while (this->now < end) {
        this->now += stepTime;
        this->deliver();
        for (unsigned index = 0; index < this->daemons.size(); ++index) {
            const Daemon& daemon = this->daemons[index];
            if (!daemon.running || daemon.paused)
                this->disturbed.insert(nameOf(index));
            else
                this->step(index, Tick {});
        }
    }
}

bool Fleet::hasConverged() const
{
    std::set<std::string> running;
    for (unsigned index = 0; index < this->daemons.size(); ++index) {
        if (this->daemons[index].running)
            running.insert(nameOf(index));
    }
    for (unsigned index = 0; index < this->daemons.size(); ++index) {
        const Daemon& daemon = this->daemons[index];
        std::set<std::string> expected = running;
        expected.erase(nameOf(index));
        if (daemon.running && daemon.alive != expected)
            return false;
    }
    return true;
}

unsigned Fleet::falseLossCount() const
{
    unsigned count = 0;
    for (const Daemon& daemon : this->daemons) {
        for (const auto& [vm, reports] : daemon.lostReports)
            count += this->disturbed.contains(vm) ? 0 : reports;
    }
    return count;
}

unsigned Fleet::observersCountingAlive(unsigned index) const
{
    unsigned count = 0;
    for (const Daemon& daemon : this->daemons)
        count += daemon.running && daemon.alive.contains(nameOf(index)) ? 1 : 0;
    return count;
}

}
