#include "LoadSimulation.h"

#include <algorithm>

namespace flamingowick::grants {

namespace {

    constexpr double endless = 1e9;

    struct SimulatedTarget {
        unsigned running { 0 };
        std::deque<std::pair<std::uint64_t, double>> queue;
        bool slow { false };
    };

    struct SimulatedRequest {
        double arrived { 0 };
        double deadline { 0 };
        unsigned rank { 0 };
        bool idempotent { false };
        unsigned attempts { 0 };
        bool done { false };
        std::vector<std::string> tried;
    };

    // One play. Attempts are numbered; a request has at most two.
    struct Play {
        const Load& load;
        std::mt19937_64 random;
        LoadOutcome outcome;
        double now { 0 };
        std::vector<SimulatedTarget> targets;
        std::vector<SimulatedRequest> requests;
        struct Event {
            double at;
            std::uint64_t order;
            std::function<void()> act;
            bool operator<(const Event& other) const { return std::pair(this->at, this->order) > std::pair(other.at, other.order); }
        };
        std::priority_queue<Event> events;
        std::uint64_t lastOrder { 0 };

        Play(const Load& played, std::uint64_t seed)
            : load(played)
            , random(seed)
            , targets(played.targets)
        {
            this->outcome.askedByRank.resize(played.ranks);
            this->outcome.servedByRank.resize(played.ranks);
            const auto slow = static_cast<std::size_t>(played.slowShare * played.targets);
            for (std::size_t index = 0; index < slow; ++index)
                this->targets[index].slow = true;
        }

        void at(double time, std::function<void()> act) { this->events.push({ time, ++this->lastOrder, std::move(act) }); }
        double uniform() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

        bool hanging(std::size_t target) const
        {
            const auto period = static_cast<std::uint64_t>(this->now / this->load.hangPeriod);
            std::mt19937_64 draw(target * 7919 + period * 104729 + 17);
            draw.discard(3);
            return std::uniform_real_distribution<double>(0, 1)(draw) < this->load.hangShare;
        }

        // Runs an attempt; done gets the outcome and when it is known.
        void attempt(std::size_t index, double deadline, const std::function<void(Outcome)>& done)
        {
            SimulatedTarget& target = this->targets[index];
            if (this->uniform() < this->load.sheds) {
                this->at(this->now + 0.002, [done] { done(Outcome::Shed); });
                return;
            }
            const bool hangs = this->hanging(index) && this->uniform() < this->load.hangs;
            const double work = hangs ? endless : std::lognormal_distribution<double>(std::log(this->load.workSeconds), 0.5)(this->random) * (target.slow ? 5 : 1);
            // More requests than slots wait at the target.
            const double wait = target.running >= this->load.slots ? this->load.workSeconds * (target.running - this->load.slots + 1) : 0;
            ++target.running;
            const double end = std::min(this->now + wait + work, deadline);
            const Outcome outcome = end < deadline ? Outcome::Succeeded : Outcome::Hung;
            this->at(end, [this, index, outcome, done] {
                --this->targets[index].running;
                done(outcome);
            });
        }

        void served(SimulatedRequest& request)
        {
            if (request.done)
                return;
            request.done = true;
            ++this->outcome.served;
            ++this->outcome.servedByRank[request.rank];
            if (this->now - request.arrived <= this->load.objectiveSeconds)
                ++this->outcome.inObjective;
        }

        void run(const std::function<void(std::uint64_t)>& arrive)
        {
            this->at(0, [this, arrive] { this->nextArrival(arrive); });
            while (!this->events.empty()) {
                Event event = this->events.top();
                this->events.pop();
                this->now = event.at;
                event.act();
            }
        }

        void nextArrival(const std::function<void(std::uint64_t)>& arrive)
        {
            if (this->now >= this->load.length)
                return;
            SimulatedRequest request;
            request.arrived = this->now;
            request.deadline = this->now + this->load.deadlineSeconds;
            request.rank = std::uniform_int_distribution<unsigned>(0, this->load.ranks - 1)(this->random);
            request.idempotent = this->uniform() < this->load.idempotentShare;
            this->requests.push_back(request);
            ++this->outcome.asked;
            ++this->outcome.askedByRank[request.rank];
            arrive(this->requests.size() - 1);
            const double gap = std::exponential_distribution<double>(this->load.rate(this->now))(this->random);
            this->at(this->now + gap, [this, arrive] { this->nextArrival(arrive); });
        }
    };

    TimePoint instant(double seconds) { return TimePoint() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + seconds)); }
    Duration span(double seconds) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }

    struct PoolPlay : Play {
        TargetPool pool;
        std::map<std::uint64_t, std::uint64_t> requestOf;
        std::uint64_t lastAttempt { 0 };

        PoolPlay(const Load& played, std::uint64_t seed)
            : Play(played, seed)
        {
            std::vector<ListedTarget> listed;
            for (unsigned index = 0; index < played.targets; ++index)
                listed.push_back({ std::to_string(index), "10.0.0.1:80", "a", played.slots, false, Duration::zero() });
            setTargets(this->pool, listed, instant(0));
            setAllowance(this->pool.retries, 0.2, 20);
            this->pool.latency.assumed = span(played.objectiveSeconds);
        }

        void ask(std::uint64_t index, bool repeat)
        {
            SimulatedRequest& request = this->requests[index];
            GrantRequest asked;
            asked.key = { 1, ++this->lastAttempt };
            asked.rank = request.rank;
            asked.repeat = repeat;
            asked.idempotent = request.idempotent;
            asked.deadline = instant(request.deadline);
            asked.objective = span(this->load.objectiveSeconds);
            asked.avoid = request.tried;
            this->requestOf[asked.key.number] = index;
            this->take(submit(this->pool, asked, instant(this->now)));
            this->at(this->now + 0.05, [this] { this->take(expire(this->pool, instant(this->now))); });
        }

        void take(const std::vector<Decision>& decisions)
        {
            for (const Decision& decision : decisions) {
                const std::uint64_t index = this->requestOf.at(decision.key.number);
                SimulatedRequest& request = this->requests[index];
                if (decision.verdict == Verdict::Refused) {
                    this->outcome.refused += request.attempts == 0 ? 1 : 0;
                    continue;
                }
                ++request.attempts;
                request.tried.push_back(decision.instance);
                const double began = this->now;
                this->attempt(std::stoul(decision.instance), request.deadline, [this, key = decision.key, index, began](Outcome ended) {
                    this->ended(key, index, ended, began);
                });
                if (request.idempotent && request.attempts < 2) {
                    this->at(this->now + std::chrono::duration<double>(decision.unusualAfter).count(), [this, index] {
                        const SimulatedRequest& late = this->requests[index];
                        if (!late.done && late.attempts < 2 && this->now < late.deadline)
                            this->ask(index, true);
                    });
                }
            }
        }

        void ended(const AttemptKey& key, std::uint64_t index, Outcome ended, double began)
        {
            if (ended == Outcome::Succeeded)
                this->served(this->requests[index]);
            this->take(finish(this->pool, key, ended, span(this->now - began), instant(this->now)));
            if (ended == Outcome::Shed && this->requests[index].attempts < 2)
                this->ask(index, true);
        }
    };

}

LoadOutcome playWithPool(const Load& load, std::uint64_t seed)
{
    PoolPlay play(load, seed);
    play.run([&play](std::uint64_t index) { play.ask(index, false); });
    return play.outcome;
}

LoadOutcome playWithTwoChoices(const Load& load, std::uint64_t seed)
{
    Play play(load, seed);
    // A repeatable request goes once more after a failure.
    std::function<void(std::uint64_t)> send = [&play, &send](std::uint64_t index) {
        std::uniform_int_distribution<std::size_t> any(0, play.targets.size() - 1);
        const std::size_t first = any(play.random);
        const std::size_t second = any(play.random);
        const std::size_t chosen = play.targets[first].running <= play.targets[second].running ? first : second;
        ++play.requests[index].attempts;
        play.attempt(chosen, play.requests[index].deadline, [&play, &send, index](Outcome ended) {
            SimulatedRequest& request = play.requests[index];
            if (ended == Outcome::Succeeded)
                play.served(request);
            else if (request.attempts < 2 && (request.idempotent || ended == Outcome::Shed))
                send(index);
        });
    };
    play.run(send);
    return play.outcome;
}

}
