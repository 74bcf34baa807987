#include "flamingowick/dispatch/detail/Steps.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr unsigned gatewayTimeout = 504;
    // Requests of one caller that may stay behind while a later one starts.
    constexpr std::size_t mostHeldBack = 8;

    bool hasRoom(const Step& step, const TargetState& target)
    {
        const DispatcherState& state = step.state;
        return state.policy.takesNewWork(target)
            && target.inFlight < state.policy.usableSlots(state.document.targets, target, step.now);
    }

    std::vector<Candidate> candidatesFor(const Step& step, const ActiveRequest& request)
    {
        std::vector<Candidate> candidates;
        for (const auto& [address, target] : step.state.targets.byAddress) {
            bool tried = std::find(request.tried.begin(), request.tried.end(), address) != request.tried.end();
            if (tried || !hasRoom(step, target) || !step.state.policy.isOpenTo(target, request.ticket))
                continue;
            unsigned slots = usableSlots(step.state.document.targets, target, step.now);
            candidates.push_back({ address, target.failureDomain, target.inFlight, slots });
        }
        return candidates;
    }

    // A request that is suspected to crash targets may run only where its crash would not be one
    // too many.
    bool isHeldBack(const Step& step, const Ticket& ticket)
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

    void start(Step& step, const RequestId& id, std::size_t position, const TargetAddress& target)
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
        if (isHeldBack(step, request.ticket))
            return false;
        std::vector<Candidate> candidates = candidatesFor(step, request);
        if (candidates.empty())
            return false;
        std::uint64_t random = nextRandom(step.state);
        std::size_t chosen = step.state.policy.chooseTarget(candidates, request.ticket.originDomain, random);
        start(step, id, position, TargetAddress(candidates[chosen].address));
        return true;
    }

    using RankedCaller = std::pair<CallerRank, const std::string*>;

    bool isServedLater(const RankedCaller& left, const RankedCaller& right)
    {
        return right.first < left.first;
    }

    // Returns a heap of the waiting callers, the next one to serve on top.
    std::vector<RankedCaller> rankCallers(const Step& step)
    {
        const WaitQueue& queue = step.state.queue;
        double slots = totalSlots(step.state.targets, step.state.document.targets, step.now);
        double equalShare = slots / static_cast<double>(std::max<std::size_t>(1, queue.callers.size()));
        std::vector<RankedCaller> order;
        for (const auto& [caller, own] : queue.callers) {
            if (own.waiting.empty())
                continue;
            CallerLoad load { own.inFlight, own.virtualTime, own.waiting.front().sequence, equalShare };
            order.emplace_back(step.state.policy.rankCaller(load), &caller);
        }
        std::make_heap(order.begin(), order.end(), isServedLater);
        return order;
    }

    // Returns the caller's waiting request at position, none when it has fewer.
    std::optional<RequestId> waitingAt(const WaitQueue& queue, std::string_view caller, std::size_t position)
    {
        auto own = queue.callers.find(caller);
        if (own == queue.callers.end() || position >= own->second.waiting.size())
            return std::nullopt;
        return own->second.waiting[position].id;
    }

    // Starts the first of the caller's requests that can be placed, so that one that is held back does
    // not block the rest. Drops those that can't end in time.
    bool startOneOf(Step& step, std::string_view caller)
    {
        std::size_t position = 0;
        while (position < mostHeldBack) {
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

    bool startOne(Step& step)
    {
        std::vector<RankedCaller> order = rankCallers(step);
        for (; !order.empty(); order.pop_back()) {
            std::pop_heap(order.begin(), order.end(), isServedLater);
            std::string caller = *order.back().second;
            if (startOneOf(step, caller))
                return true;
        }
        return false;
    }

    bool anyRoom(const Step& step)
    {
        const auto& targets = step.state.targets.byAddress;
        return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) { return hasRoom(step, entry.second); });
    }

}

void place(Step& step)
{
    while (step.state.queue.waiting > 0 && anyRoom(step) && startOne(step)) { }
}

}
