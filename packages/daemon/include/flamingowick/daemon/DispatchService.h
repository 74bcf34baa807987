#pragma once

#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/dispatch/Dispatcher.h"
#include "flamingowick/health/Health.h"

#include <functional>
#include <set>
#include <unordered_map>

// The dispatcher role: runs the dispatch and health decisions of the services that this daemon
// serves, and carries out their actions.
namespace flamingowick::daemon {

// Takes the final answer of a forwarded request that came from this daemon's own entry or owner.
using LocalAnswer = std::function<void(const peers::ForwardAnswer&)>;

class DispatchService {
public:
    DispatchService(CoreContext&, LocalAnswer);

    // Takes in a request from an entry. from is the daemon to answer.
    void submit(const DaemonId& from, std::string_view fromAddress, peers::ForwardRequest, TimePoint now);

    // The caller of a request has gone.
    void cancel(const RequestId&, std::uint32_t attempt, TimePoint now);

    // An attempt at a target has ended.
    void attemptEnded(gateway::AttemptResult, TimePoint now);

    // A service's document came in force or was withdrawn.
    void documentChanged(std::string_view service, TimePoint now);

    // A service's target list changed.
    void targetsChanged(std::string_view service, TimePoint now);

    // A peer's word about a service's targets or requests.
    void receive(const peers::LeavingNotice&, TimePoint now);
    void receive(const peers::ServiceCrashReport&, TimePoint now);
    void receive(const peers::ServiceQuarantine&, TimePoint now);
    void receive(const peers::HealthSummary&, TimePoint now);

    void tick(TimePoint now);

    // Returns the number of requests that are waiting or running here.
    std::size_t active() const noexcept { return this->requests.size(); }

    // Returns the targets of a service that are out of use here for their health.
    std::vector<TargetAddress> ejectedTargets(std::string_view service) const;

    // Explains a target's treatment by the dispatcher on this daemon; nothing when this daemon runs
    // no dispatcher of the service.
    std::optional<health::Explanation> explain(std::string_view service, std::string_view target, TimePoint now) const;

private:
    // The decisions of one service.
    struct Group {
        dispatch::DispatcherState dispatcher;
        health::HealthState health;
        // Targets whose own drain signal was passed on to the peers.
        std::set<TargetAddress> leavingTold;
    };

    // A request with its body, while the dispatcher has it.
    struct Running {
        Request request;
        DaemonId from;
        std::string fromAddress;
        std::uint32_t entryAttempt { 1 };
        gateway::AttemptResult lastResult;
        TargetAddress lastTarget;
    };

    struct RunningAttempt {
        RequestId request;
        TargetAddress target;
        std::string service;
        bool idempotent { true };
    };

    Group* groupFor(std::string_view service, TimePoint now);
    void run(Group&, const dispatch::Event&, TimePoint now);
    void runHealth(Group&, const health::Event&, TimePoint now);
    void applyHealth(Group&, std::string_view target, TimePoint now);

    void carryOut(Group&, const dispatch::StartAttempt&, TimePoint now);
    void carryOut(Group&, const dispatch::CancelAttempt&, TimePoint now);
    void carryOut(Group&, const dispatch::Finish&, TimePoint now);
    void carryOut(Group&, const dispatch::PassAnswer&, TimePoint now);
    void carryOut(Group&, const dispatch::Evidence&, TimePoint now);
    void carryOut(Group&, const dispatch::CrashReport&, TimePoint now);
    void carryOut(Group&, const dispatch::QuarantineNotice&, TimePoint now);

    void answer(const RequestId&, Answer);
    void sendSummaries(TimePoint now);
    void noteTargetState(Group&, const RunningAttempt&, const gateway::AttemptResult&, TimePoint now);

    CoreContext& context;
    LocalAnswer localAnswer;
    std::map<std::string, Group, std::less<>> groups;
    std::unordered_map<RequestId, Running> requests;
    // Attempts outlive their request when they are cancelled after its final answer.
    std::unordered_map<std::uint64_t, RunningAttempt> attempts;
    std::unordered_map<RequestId, std::uint64_t> attemptOf;
    std::uint64_t attemptCounter { 0 };
    TimePoint nextSummary;
    TimePoint nextFullSummary;
    // The idempotence of the request whose attempt just ended, for the evidence that follows.
    bool evidenceIsIdempotent { true };
};

}
