#include "flamingowick/dispatch/detail/Steps.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr unsigned gatewayTimeout = 504;
    // How many queued requests of one caller are examined, in order, before the next caller is served. Requests that
    // are finished at once are not counted.
    constexpr std::size_t maxExaminedPerCaller = 8;

    bool hasFreeSlot(const Step& step, const TargetState& target)
    {
        const DispatcherState& state = step.state;
        return state.policy.takesNewWork(target)
            && target.inFlight < state.policy.usableSlots(state.document.targets, target, step.now);
    }

    std::vector<Candidate> findCandidates(const Step& step, const ActiveRequest& request)
    {
        std::vector<Candidate> candidates;
        for (const auto& [address, target] : step.state.targets.byAddress) {
            bool tried = std::find(request.tried.begin(), request.tried.end(), address) != request.tried.end();
            if (tried || !hasFreeSlot(step, target) || !step.state.policy.isOpenTo(target, request.ticket))
                continue;
            unsigned slots = usableSlots(step.state.document.targets, target, step.now);
            candidates.push_back({ address, target.failureDomain, target.inFlight, slots });
        }
        return candidates;
    }

    // Whether one more attempt of a suspected request could crash more targets than CrashPolicy::distinctTargets
    // allows, if its attempts in flight crash their targets too.
    bool wouldExceedCrashLimit(const Step& step, const Ticket& ticket)
    {
        const DispatcherState& state = step.state;
        const CrashPolicy& policy = state.document.crashes;
        for (std::uint64_t fingerprint : fingerprints(ticket)) {
            std::size_t crashes = state.policy.crashCount(state.crashes, fingerprint, policy, step.now);
            auto running = state.running.find(fingerprint);
            std::size_t atRisk = crashes + (running == state.running.end() ? 0 : running->second);
            if (crashes > 0 && atRisk >= policy.distinctTargets)
                return true;
        }
        return false;
    }

    std::uint64_t nextRandom(DispatcherState& state)
    {
        constexpr std::uint64_t splitMixStep = 0x9e3779b97f4a7c15ULL;
        state.random += splitMixStep;
        std::uint64_t value = state.random;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    void startAttempt(Step& step, const RequestId& id, std::size_t position, const TargetAddress& target)
    {
        DispatcherState& state = step.state;
        ActiveRequest& request = state.requests.at(id);
        bool allowed = request.ticket.idempotent || !request.mayHaveRun;
        checkInvariant(allowed, Invariant::AtMostOnce, "a non-idempotent request that may have run is attempted again");
        if (request.tried.empty())
            recordFirstAttempt(state.retries, state.document.retries);
        else
            recordRetry(state.retries);
        occupySlot(state.targets, target, state.document.targets, step.now);
        if (request.ticket.idempotent)
            creditTrials(state.targets);
        startWaiting(state.queue, request.ticket.caller, position, state.serviceTime.mean);
        for (std::uint64_t fingerprint : fingerprints(request.ticket))
            ++state.running[fingerprint];
        request.tried.push_back(target);
        std::uint64_t life = state.targets.byAddress.find(target)->second.life;
        request.attempt = Attempt { target, life, step.now, state.serviceTime.mean };
        setExpiry(state, id, request.ticket.deadline);
        step.actions.push_back(StartAttempt { id, target });
    }

    bool startIfPossible(Step& step, const RequestId& id, std::size_t position)
    {
        const ActiveRequest& request = step.state.requests.at(id);
        if (wouldExceedCrashLimit(step, request.ticket))
            return false;
        std::vector<Candidate> candidates = findCandidates(step, request);
        if (candidates.empty())
            return false;
        std::uint64_t random = nextRandom(step.state);
        std::size_t chosen = step.state.policy.chooseTarget(candidates, request.ticket.originDomain, random);
        startAttempt(step, id, position, TargetAddress(candidates[chosen].address));
        return true;
    }

    using RankedCaller = std::pair<CallerRank, const std::string*>;

    bool isServedLater(const RankedCaller& left, const RankedCaller& right)
    {
        return right.first < left.first;
    }

    // Returns a heap of the callers with queued requests; the next caller to serve is on top.
    std::vector<RankedCaller> rankCallers(const Step& step)
    {
        const WaitQueue& queue = step.state.queue;
        double slots = totalSlots(step.state.targets, step.state.document.targets, step.now);
        double equalShare = slots / static_cast<double>(std::max<std::size_t>(1, queue.callers.size()));
        std::vector<RankedCaller> order;
        for (const auto& [caller, callerQueue] : queue.callers) {
            if (callerQueue.waiting.empty())
                continue;
            CallerLoad load { callerQueue.inFlight, callerQueue.virtualTime, callerQueue.waiting.front().sequence, equalShare };
            order.emplace_back(step.state.policy.rankCaller(load), &caller);
        }
        std::make_heap(order.begin(), order.end(), isServedLater);
        return order;
    }

    // Returns the caller's queued request at the position, or nullopt if it has fewer.
    std::optional<RequestId> waitingAt(const WaitQueue& queue, std::string_view caller, std::size_t position)
    {
        auto callerQueue = queue.callers.find(caller);
        if (callerQueue == queue.callers.end() || position >= callerQueue->second.waiting.size())
            return std::nullopt;
        return callerQueue->second.waiting[position].id;
    }

    // Starts the first of the caller's queued requests that can start, so that a suspected request does not block those
    // behind it. Finishes requests that cannot end before their deadline.
    bool startRequestOf(Step& step, std::string_view caller)
    {
        std::size_t position = 0;
        while (position < maxExaminedPerCaller) {
            auto id = waitingAt(step.state.queue, caller, position);
            if (!id)
                return false;
            if (!canFinish(step.state.serviceTime, step.now, step.state.requests.at(*id).ticket.deadline)) {
                recordHopeless(step.state.serviceTime);
                finish(step, *id, FinishReason::DeadlineExceeded, gatewayTimeout, std::nullopt);
                continue;
            }
            if (startIfPossible(step, *id, position))
                return true;
            ++position;
        }
        return false;
    }

    bool startNextRequest(Step& step)
    {
        std::vector<RankedCaller> order = rankCallers(step);
        for (; !order.empty(); order.pop_back()) {
            std::pop_heap(order.begin(), order.end(), isServedLater);
            std::string caller = *order.back().second;
            if (startRequestOf(step, caller))
                return true;
        }
        return false;
    }

    bool hasAnyFreeSlot(const Step& step)
    {
        const auto& targets = step.state.targets.byAddress;
        return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) { return hasFreeSlot(step, entry.second); });
    }

}

void startWaitingRequests(Step& step)
{
    while (step.state.queue.waiting > 0 && hasAnyFreeSlot(step) && startNextRequest(step)) { }
}

}
