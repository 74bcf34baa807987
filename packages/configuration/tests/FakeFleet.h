#pragma once

#include "flamingowick/configuration/StateMachine.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

// Several state machines, a store and a network, all driven by one seed.
namespace flamingowick::configuration::tests {

// Odds of the faults, in percent, and their extent.
struct Faults {
    unsigned messageLoss { 0 };
    unsigned messageRepeat { 0 };
    unsigned maxMessageDelayMs { 5 };
    unsigned lostAnswers { 0 };
    unsigned staleReads { 0 };
    unsigned maxCallDelayMs { 10 };
    unsigned lateWrites { 0 };
    unsigned maxWatchLagMs { 20 };
    unsigned watchBreaks { 0 };
    // Not a fault that the design bears: source reads that lag behind completed writes.
    unsigned staleSourceReads { 0 };
};

struct FakeStore {
    bool down { false };
    std::uint64_t writes { 0 };
    std::int64_t lastWriteMs { 0 };
    std::uint64_t calls { 0 };
    std::map<std::string, SourceObject> sources;
    // Every source that ever was, in order.
    std::map<std::string, std::vector<SourceObject>> sourceHistory;
    // Every accepted document that ever was, in order; the last one is current.
    std::map<std::string, std::vector<StoredDocument>> accepted;
    std::map<std::pair<std::string, std::uint64_t>, AuditArchive> archives;
};

struct Node {
    State state;
    bool up { false };
    bool watching { false };
    bool everReady { false };
    std::int64_t readySinceMs { 0 };
    std::map<std::string, std::uint64_t> applied;
    // The versions in force by the time from which they were.
    std::map<std::string, std::map<std::int64_t, std::uint64_t>> appliedSince;
    // Events for earlier lives are dropped.
    std::uint64_t life { 0 };
    // When the last event of the watch, and of the membership, arrives; later ones don't overtake it.
    std::int64_t watchedUntilMs { 0 };
    std::int64_t toldUntilMs { 0 };
    // A paused process gets its events when it goes on.
    std::int64_t pausedUntilMs { 0 };
    std::vector<Event> backlog;
};

class FakeFleet {
public:
    FakeFleet(std::uint64_t seed, const Policy&);

    // Runs the schedule: faults and changes for a while, then quiet until all agree.
    void run();

    // What was found to be wrong, empty for a good run.
    std::vector<std::string> violations;
    FakeStore store;
    Faults faults;
    // Faults that the schedule draws from; set before run().
    bool staleSources { false };
    // Time from the end of the faults until all daemons agreed with the store, and until all were ready.
    std::int64_t agreementMs { -1 };
    // The same, but from the last accepted write if that came later.
    std::int64_t spreadMs { -1 };
    std::int64_t readinessMs { -1 };

private:
    struct Step {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const Step& other) const { return std::pair(this->at, this->order) > std::pair(other.at, other.order); }
    };

    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(this->random() % bound); }
    bool odds(unsigned percent) { return this->below(100) < percent; }
    TimePoint now() const { return TimePoint(std::chrono::milliseconds(this->clockMs)); }
    void require(bool holds, const std::string& message);

    void after(std::int64_t delayMs, std::function<void()> work);
    void runUntil(std::int64_t endMs);
    void deliver(std::size_t node, std::uint64_t life, const Event&);
    void deliverAfter(std::int64_t delayMs, std::size_t node, Event);
    void deliverInOrder(std::int64_t& last, std::int64_t delayMs, std::size_t node, Event);
    void tick(std::size_t node, std::uint64_t life);

    void start(std::size_t node);
    void stop(std::size_t node);
    void pause(std::size_t node, std::int64_t durationMs);
    void resume(std::size_t node);
    void tellMembers();

    void perform(std::size_t node, const StartWatch&);
    void perform(std::size_t node, const StopWatch&);
    void perform(std::size_t node, const ReadAccepted&);
    void perform(std::size_t node, const ReadSource&);
    void perform(std::size_t node, const WriteAccepted&);
    void perform(std::size_t node, const WriteArchive&);
    void perform(std::size_t node, const SendMessage&);
    void perform(std::size_t node, const ApplyDocument&);
    void perform(std::size_t node, const BecomeReady&);

    void callStore(std::size_t node, std::int64_t delayMs, std::function<Event()> call, const Event& failure);
    std::optional<StoredDocument> readAccepted(const std::string& service);
    std::optional<SourceObject> readSource(const std::string& service);
    WriteOutcome write(const WriteAccepted&);
    void list(std::size_t node);
    void notifyWatchers(const Event&);
    void setStoreDown(bool down);

    void fillAudit();
    void changeSource();
    void injectFault();
    std::uint64_t readinessFloor(std::size_t node, const std::string& service);
    bool documentsAgree() const;
    bool allReady() const;
    void checkAudit();
    void checkSourceOrder();

    std::mt19937_64 random;
    Policy policy;
    std::int64_t clockMs { 1'000'000 };
    std::uint64_t steps { 0 };
    std::uint64_t textsWritten { 0 };
    std::priority_queue<Step> queue;
    std::vector<Node> nodes;
    std::vector<std::string> services;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    // Versions in the store by the time from which they were there.
    std::map<std::string, std::map<std::int64_t, std::uint64_t>> storedSince;
};

// Accepts texts "<service> <number> ok"; the number becomes queue.maxWaiting.
Checked<ServiceDocument> checkFakeText(std::string_view text);

// The production policy with the light check of fake texts.
Policy fakePolicy();

}
