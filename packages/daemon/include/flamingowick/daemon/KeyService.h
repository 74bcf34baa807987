#pragma once

#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/EntryService.h"
#include "flamingowick/daemon/PlatformCalls.h"
#include "flamingowick/keys/KeyMachine.h"

#include <functional>

// Runs the decisions on keyed requests, for the entry's side and the owner's, and carries out their
// actions.
namespace flamingowick::daemon {

struct KeyNeighbours {
    // Runs an owner's request by way of its dispatcher. The answer comes by KeyService::dispatched.
    std::function<void(Request)> dispatch;
    std::function<void(const RequestId&)> cancelDispatch;
    // Answers a caller of this entry.
    std::function<void(const RequestId&, TimedAnswer)> answerCaller;
};

// Reads the wall clock between two readings of the steady clock. Never throws.
keys::WallReading readWallClock();

class KeyService {
public:
    KeyService(CoreContext&, PlatformCalls&, KeyNeighbours, std::uint64_t secret);

    // Takes in any event for the key machine.
    void handle(const keys::Event&, TimePoint now);

    // A message to a peer was certainly not sent.
    void notSent(const peers::Message&, TimePoint now);

    // The final answer of a request that this owner dispatched.
    void dispatched(const RequestId&, Answer, TimePoint now);

    // A document came in force.
    void documentChanged(std::string_view service, TimePoint now);

    // A daemon is dead for certain: its ranges may be claimed at once.
    void deathProven(const DaemonId&, TimePoint now);

    // A daemon joined: it is told which ranges this daemon owns.
    void memberJoined(const Member&);

    void tick(TimePoint now);

    // Starts to hand all ranges to other daemons.
    void startShutdown(TimePoint now);

    // Returns true when this daemon runs no range any more, or can't hand over what it has.
    bool handedOver() const;

    // Returns true once this daemon has heard every other one well enough to ask it about keys, or has
    // waited for that as long as it may.
    bool hearsOwners() const noexcept { return this->allHeard; }

    // Issues a key that names this daemon as its owner.
    std::string issueKey(TimePoint now);

    const keys::State& view() const noexcept { return this->state; }

private:
    // Since when the heartbeats of a member's life have been settled.
    struct HeardMember {
        Incarnation incarnation { 0 };
        TimePoint since;
    };

    template <typename Message>
    void sendTo(const DaemonId&, Message);

    void carryOut(const keys::AnswerCaller&, TimePoint now);
    void carryOut(const keys::Forward&, TimePoint now);
    void carryOut(const keys::ForwardCancel&, TimePoint now);
    void carryOut(const keys::Dispatch&, TimePoint now);
    void carryOut(const keys::CancelDispatch&, TimePoint now);
    void carryOut(const keys::AnswerRequest&, TimePoint now);
    void carryOut(const keys::RefuseRequest&, TimePoint now);
    void carryOut(const keys::ReadRecord&, TimePoint now);
    void carryOut(const keys::WriteRecord&, TimePoint now);
    void carryOut(const keys::SendEntries&, TimePoint now);
    void carryOut(const keys::AcknowledgeEntries&, TimePoint now);
    void carryOut(const keys::SendEntryFinished&, TimePoint now);
    void carryOut(const keys::Announce&, TimePoint now);
    void carryOut(const keys::SendHeartbeat&, TimePoint now);

    void noteHeard(TimePoint now);
    std::vector<std::string> possibleOwners(TimePoint now) const;
    void claimRanges(TimePoint now);
    void handOverRanges(TimePoint now);
    std::vector<std::string> serviceNames() const;

    CoreContext& context;
    PlatformCalls& calls;
    KeyNeighbours neighbours;
    keys::State state;
    TimePoint nextTick;
    // When each range was last claimed in vain, so that its record is not read all the time.
    std::map<keys::RangeId, TimePoint> claimedAt;
    std::map<std::string, HeardMember> heardMembers;
    std::optional<TimePoint> firstTick;
    bool allHeard { false };
    bool shuttingDown { false };
};

}
