#include "RouteLoads.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace flamingowick::grants {

namespace {

    constexpr double hangPeriodSeconds = 9;
    constexpr double hangProbability = 0.75;
    constexpr double shedAnswerSeconds = 0.002;
    constexpr double checkSeconds = 0.05;

    struct Planned {
        double at { 0 };
        std::size_t route { 0 };
        std::size_t organisation { 0 };
        double work { 0 };
        double deadline { 0 };
        unsigned attempts { 0 };
        bool ended { false };
        bool shed { false };
        bool hung { false };
        bool returned { false };
        std::vector<std::string> tried;
        // Attempts in flight with the times of their starts.
        std::map<AttemptId, double> running;
    };

    TimePoint timeAt(double seconds) { return TimePoint() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + seconds)); }
    Duration durationOf(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }
    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    struct Run {
        const RouteLoads& loads;
        std::uint64_t seed;
        bool isOracle;
        bool knowsWork;
        RouteOutcome outcome {};
        std::vector<Planned> requests {};
        double now { 0 };
        struct Event {
            double at;
            std::uint64_t sequence;
            std::function<void()> action;
            bool operator<(const Event& other) const { return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence); }
        };
        std::priority_queue<Event> events {};
        std::uint64_t lastSequence { 0 };

        // State with a pool.
        TargetPool pool {};
        std::map<std::uint64_t, std::size_t> requestOf {};
        std::uint64_t lastAttempt { 0 };
        // State of the oracle.
        std::vector<std::size_t> waiting {};
        std::vector<unsigned> running {};

        void schedule(double time, std::function<void()> action) { this->events.push({ time, ++this->lastSequence, std::move(action) }); }

        // A number from 0 to below 1 that depends on the seed and the arguments only, so that all deciders meet the same.
        double draw(std::uint64_t a, std::uint64_t b, std::uint64_t c) const
        {
            std::uint64_t hash = this->seed;
            for (const std::uint64_t each : { a, b, c })
                hash = combineHashes(hash, stableHash(std::to_string(each)));
            return static_cast<double>(hash >> 11) / static_cast<double>(std::uint64_t { 1 } << 53);
        }

        bool isHanging(std::size_t target) const { return this->draw(1, target, static_cast<std::uint64_t>(this->now / hangPeriodSeconds)) < this->loads.hangShare; }
        bool isSlow(std::size_t target) const { return static_cast<double>(target) < this->loads.slowShare * this->loads.targets && this->now >= this->loads.slowFrom && this->now < this->loads.slowTo; }
        double workAt(std::size_t index, std::size_t target) const { return this->requests[index].work * (this->isSlow(target) ? this->loads.slowFactor : 1); }
        const RouteLoad& routeOf(std::size_t index) const { return this->loads.routes[this->requests[index].route]; }

        void plan()
        {
            std::mt19937_64 random(this->seed);
            for (std::size_t route = 0; route < this->loads.routes.size(); ++route) {
                const RouteLoad& load = this->loads.routes[route];
                const double median = load.workSeconds / std::exp(load.workSpread * load.workSpread / 2);
                std::lognormal_distribution<double> work(std::log(median), load.workSpread);
                for (std::size_t organisation = 0; organisation < this->loads.organisations.size(); ++organisation) {
                    for (double at = 0; at < this->loads.lengthSeconds;) {
                        // Thinning: candidates at the highest rate, of which the share of the present rate is kept.
                        constexpr double highestFactor = 10;
                        const double highest = load.rate(0) * this->loads.organisations[organisation] * highestFactor;
                        at += std::exponential_distribution<double>(highest)(random);
                        const double rate = load.rate(at) * this->loads.organisations[organisation] * this->loads.organisationFactor(organisation, at);
                        if (at < this->loads.lengthSeconds && std::uniform_real_distribution<double>(0, 1)(random) < rate / highest)
                            this->requests.push_back({ at, route, organisation, std::min(work(random), load.longestWorkSeconds), at + load.deadlineSeconds, 0, false, false, false, false, {}, {} });
                    }
                }
            }
            std::sort(this->requests.begin(), this->requests.end(), [](const Planned& a, const Planned& b) { return a.at < b.at; });
            this->outcome.byRoute.resize(this->loads.routes.size());
            this->outcome.byOrganisation.resize(this->loads.organisations.size());
        }

        void count(std::size_t index, unsigned RequestCounts::*field)
        {
            const Planned& request = this->requests[index];
            ++(this->outcome.all.*field);
            ++(this->outcome.byRoute[request.route].*field);
            ++(this->outcome.byOrganisation[request.organisation].*field);
        }

        void end(std::size_t index, bool served)
        {
            Planned& request = this->requests[index];
            if (request.ended)
                return;
            request.ended = true;
            if (served) {
                this->count(index, &RequestCounts::served);
                if (this->now - request.at <= this->routeOf(index).objectiveSeconds)
                    this->count(index, &RequestCounts::withinObjective);
            } else if (request.hung) {
                this->count(index, &RequestCounts::hung);
            } else if (request.shed) {
                this->count(index, &RequestCounts::shed);
            } else {
                this->count(index, this->now - request.at <= this->routeOf(index).objectiveSeconds / 8 ? &RequestCounts::refusedAtOnce : &RequestCounts::refusedLate);
            }
            if (request.returned && !served && !request.hung && !request.shed)
                this->count(index, &RequestCounts::refusedAgain);
        }

        // Runs an attempt and calls onEnd with its outcome when it ends.
        void start(std::size_t index, std::size_t target, const std::function<void(AttemptOutcome)>& onEnd)
        {
            Planned& request = this->requests[index];
            ++request.attempts;
            this->outcome.retries += request.attempts > 1 ? 1 : 0;
            if (this->now >= this->loads.shedFrom && this->now < this->loads.shedTo && this->draw(2, index, request.attempts) < this->loads.shedShare) {
                request.shed = true;
                this->schedule(this->now + shedAnswerSeconds, [onEnd] { onEnd(AttemptOutcome::Shed); });
                return;
            }
            const bool hangs = this->isHanging(target) && this->draw(3, index, target) < hangProbability;
            request.hung = request.hung || hangs;
            const double end = this->now + this->workAt(index, target);
            const bool inTime = !hangs && end < request.deadline;
            this->schedule(inTime ? end : request.deadline, [onEnd, inTime] { onEnd(inTime ? AttemptOutcome::Succeeded : AttemptOutcome::TimedOut); });
        }

        void run()
        {
            this->plan();
            this->running.resize(this->loads.targets);
            this->openPool();
            for (std::size_t index = 0; index < this->requests.size(); ++index) {
                this->schedule(this->requests[index].at, [this, index] {
                    this->count(index, &RequestCounts::requests);
                    this->arrive(index);
                });
            }
            for (double at = 0; !this->isOracle && at < this->loads.lengthSeconds + 8; at += checkSeconds)
                this->schedule(at, [this] { this->apply(expireOverdue(this->pool, timeAt(this->now))); });
            while (!this->events.empty()) {
                const Event event = this->events.top();
                this->events.pop();
                this->now = event.at;
                event.action();
            }
        }

        void arrive(std::size_t index)
        {
            if (!this->isOracle) {
                this->request(index, false);
                return;
            }
            this->waiting.push_back(index);
            this->serveWithKnowledge();
        }

        void openPool()
        {
            std::vector<ListedTarget> listed;
            for (unsigned index = 0; index < this->loads.targets; ++index)
                listed.push_back({ std::to_string(index), "10.0.0.1:80", "a", this->loads.slots, false, Duration::zero() });
            setTargets(this->pool, listed, timeAt(this->now));
            constexpr double budgetRatio = 0.2;
            constexpr double budgetBurst = 20;
            setRetryBudget(this->pool.retryBudget, budgetRatio, budgetBurst);
        }

        void request(std::size_t index, bool isRetry)
        {
            const Planned& planned = this->requests[index];
            const RouteLoad& route = this->routeOf(index);
            GrantRequest request;
            request.attemptId = { 1, ++this->lastAttempt };
            request.priority = route.priority;
            request.idempotent = route.idempotent;
            request.workload = planned.route + 1;
            request.organisation = planned.organisation + 1;
            request.isRetry = isRetry;
            request.isHedge = isRetry && !planned.running.empty();
            request.earnsRetryCredit = !isRetry;
            request.deadline = timeAt(planned.deadline);
            request.latencyObjective = durationOf(route.objectiveSeconds);
            request.failureDomain = std::string(1, 'a');
            request.excludedInstances = planned.tried;
            this->requestOf[request.attemptId.number] = index;
            this->pool.overallLatency.latencyObjective = request.latencyObjective;
            this->apply(requestGrant(this->pool, request, timeAt(this->now)));
        }

        void apply(const std::vector<Decision>& decisions)
        {
            for (const Decision& decision : decisions) {
                const std::size_t index = this->requestOf.at(decision.attemptId.number);
                Planned& planned = this->requests[index];
                if (decision.kind == DecisionKind::Granted)
                    this->startGranted(index, decision);
                else if (planned.attempts == 0 && this->loads.refusedReturn && !planned.returned && this->now + secondsOf(decision.retryAfter) < planned.deadline)
                    this->returnLater(index, secondsOf(decision.retryAfter));
                else if (planned.attempts == 0 || decision.reason == RefusalReason::RetryBudgetExhausted || planned.shed)
                    this->endUnlessRunning(index);
            }
        }

        void returnLater(std::size_t index, double delay)
        {
            this->requests[index].returned = true;
            this->count(index, &RequestCounts::returned);
            this->schedule(this->now + delay, [this, index] { this->request(index, false); });
        }

        void endUnlessRunning(std::size_t index)
        {
            if (!this->requests[index].hung)
                this->end(index, false);
        }

        void finish(std::size_t index, AttemptId attemptId, AttemptOutcome result)
        {
            const double startedAt = this->requests[index].running.at(attemptId);
            this->requests[index].running.erase(attemptId);
            this->apply(finishAttempt(this->pool, attemptId, result, durationOf(this->now - startedAt), timeAt(this->now)));
        }

        void startGranted(std::size_t index, const Decision& decision)
        {
            this->requests[index].tried.push_back(decision.instance);
            this->requests[index].running[decision.attemptId] = this->now;
            this->start(index, std::stoul(decision.instance), [this, index, attemptId = decision.attemptId](AttemptOutcome result) {
                Planned& planned = this->requests[index];
                if (!planned.running.contains(attemptId))
                    return;
                this->finish(index, attemptId, result);
                if (result == AttemptOutcome::Shed && planned.attempts < this->loads.maxAttempts) {
                    this->request(index, true);
                    return;
                }
                this->end(index, result == AttemptOutcome::Succeeded);
                while (!planned.running.empty())
                    this->finish(index, planned.running.begin()->first, AttemptOutcome::Abandoned);
            });
            if (this->routeOf(index).idempotent) {
                this->schedule(this->now + secondsOf(decision.suspicionAge), [this, index] {
                    const Planned& planned = this->requests[index];
                    if (!planned.ended && planned.attempts < this->loads.maxAttempts && this->now < planned.deadline)
                        this->request(index, true);
                });
            }
        }

        // Starts the shortest request of the highest priority among those that can still meet their deadline, at a target
        // that does not hang; those that can't are refused.
        void serveWithKnowledge()
        {
            const auto rank = [this](std::size_t index) { return std::tuple(this->routeOf(index).priority, this->knowsWork ? this->requests[index].work : this->requests[index].at); };
            while (true) {
                std::optional<std::size_t> target;
                for (std::size_t each = 0; each < this->running.size(); ++each) {
                    if (this->running[each] < this->loads.slots && !this->isHanging(each) && (!target || std::pair(this->isSlow(each), this->running[each]) < std::pair(this->isSlow(*target), this->running[*target])))
                        target = each;
                }
                std::erase_if(this->waiting, [this](std::size_t index) {
                    const bool hopeless = this->now + (this->knowsWork ? this->requests[index].work : this->routeOf(index).workSeconds) >= this->requests[index].deadline;
                    if (hopeless)
                        this->end(index, false);
                    return hopeless;
                });
                if (!target)
                    return;
                std::optional<std::size_t> next;
                for (const std::size_t index : this->waiting) {
                    if ((!this->knowsWork || this->now + this->workAt(index, *target) < this->requests[index].deadline) && (!next || rank(index) < rank(*next)))
                        next = index;
                }
                if (!next)
                    return;
                std::erase(this->waiting, *next);
                ++this->running[*target];
                this->start(*next, *target, [this, index = *next, at = *target](AttemptOutcome result) {
                    --this->running[at];
                    if (result == AttemptOutcome::Shed && this->requests[index].attempts < this->loads.maxAttempts && this->outcome.retries < this->outcome.all.requests / 5 + 20)
                        this->waiting.push_back(index);
                    else
                        this->end(index, result == AttemptOutcome::Succeeded);
                    this->serveWithKnowledge();
                });
            }
        }
    };

}

RequestCounts& RequestCounts::operator+=(const RequestCounts& other)
{
    for (auto field : { &RequestCounts::requests, &RequestCounts::served, &RequestCounts::withinObjective, &RequestCounts::refusedAtOnce, &RequestCounts::refusedLate, &RequestCounts::hung, &RequestCounts::shed, &RequestCounts::returned, &RequestCounts::refusedAgain })
        this->*field += other.*field;
    return *this;
}

RouteOutcome simulate(const RouteLoads& loads, Decider decider)
{
    RouteOutcome sum;
    sum.byRoute.resize(loads.routes.size());
    sum.byOrganisation.resize(loads.organisations.size());
    constexpr std::uint64_t seeds = 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Run run { loads, seed, decider == Decider::Oracle || decider == Decider::Healthy, decider == Decider::Oracle };
        if (decider == Decider::Shares)
            run.pool.limits.admissionOrder = AdmissionOrder::Shares;
        run.run();
        sum.all += run.outcome.all;
        for (std::size_t route = 0; route < loads.routes.size(); ++route)
            sum.byRoute[route] += run.outcome.byRoute[route];
        for (std::size_t organisation = 0; organisation < loads.organisations.size(); ++organisation)
            sum.byOrganisation[organisation] += run.outcome.byOrganisation[organisation];
        sum.retries += run.outcome.retries;
    }
    return sum;
}

}
