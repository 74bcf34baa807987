#include <rapidcheck.h>

#include <map>
#include <set>

#include "Fixture.h"

using namespace flamingowick;
using namespace flamingowick::grants;

// Random courses of a pool: whatever happens, each request gets one decision, slots are never overrun
// by grants, and nothing is granted to a target that leaves.

namespace {

struct Course {
    PoolFixture fixture;
    std::set<AttemptKey> undecided;
    std::map<AttemptKey, std::string> running;
    std::set<AttemptKey> decided;

    void take(std::span<const Decision> decisions)
    {
        for (const Decision& decision : decisions) {
            RC_ASSERT(this->decided.insert(decision.key).second);
            RC_ASSERT(this->undecided.erase(decision.key) == 1);
            if (decision.verdict == Verdict::Refused) {
                RC_ASSERT(decision.retryAfter > Duration::zero());
                continue;
            }
            const auto target = this->fixture.pool.targets.find(decision.instance);
            RC_ASSERT(target != this->fixture.pool.targets.end());
            RC_ASSERT(!target->second.listed.leaving);
            this->running[decision.key] = decision.instance;
        }
        for (const auto& [instance, target] : this->fixture.pool.targets)
            RC_ASSERT(target.inFlight.size() <= target.listed.slots);
    }

    void submitOne()
    {
        GrantRequest asked = this->fixture.request(milliseconds(*rc::gen::inRange(50, 4000)));
        asked.rank = *rc::gen::inRange(0U, 3U);
        asked.repeat = *rc::gen::inRange(0, 4) == 0;
        asked.idempotent = *rc::gen::arbitrary<bool>();
        this->undecided.insert(asked.key);
        this->take(submit(this->fixture.pool, asked, this->fixture.now));
    }

    void endOne()
    {
        if (this->running.empty())
            return;
        const auto ended = std::next(this->running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(this->running.size())));
        const auto outcome = static_cast<Outcome>(*rc::gen::inRange(0, 8));
        const AttemptKey key = ended->first;
        this->running.erase(ended);
        this->take(finish(this->fixture.pool, key, outcome, milliseconds(*rc::gen::inRange(0, 3000)), this->fixture.now));
    }

    void relist()
    {
        std::vector<ListedTarget> listed;
        for (unsigned index = 0; index < 6; ++index) {
            if (*rc::gen::inRange(0, 4) != 0)
                listed.push_back({ "t" + std::to_string(index), "10.0.0.1:80", index % 2 == 0 ? "a" : "b", 2, *rc::gen::inRange(0, 5) == 0, Duration::zero() });
        }
        this->take(setTargets(this->fixture.pool, listed, this->fixture.now));
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            this->relist();
            break;
        case 1:
        case 2:
            this->fixture.now += milliseconds(*rc::gen::inRange(1, 800));
            this->take(expire(this->fixture.pool, this->fixture.now));
            break;
        case 3:
        case 4:
        case 5:
            this->endOne();
            break;
        default:
            this->submitOne();
            break;
        }
    }
};

}

TEST_GROUP(Schedules) {};

TEST(Schedules, DecideEachRequestOnceAndKeepToTheSlots)
{
    const bool held = rc::check("pool schedules", [] {
        Course course;
        course.fixture.list(4);
        setAllowance(course.fixture.pool.retries, 0.2, 10);
        const int steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step)
            course.step();
        // In the end nobody waits for ever.
        course.fixture.now += seconds(20);
        course.take(expire(course.fixture.pool, course.fixture.now));
        RC_ASSERT(course.undecided.empty());
    });
    CHECK(held);
}
