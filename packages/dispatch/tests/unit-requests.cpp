#include "Fixture.h"

#include "flamingowick/model/Error.h"

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::dispatch;
using std::chrono::seconds;

namespace {

const PeerGrant wholeGrant { 1, TimePoint(std::chrono::hours(9)) };

// A fixture whose dispatcher has accumulated a few retry tokens.
Fixture fixtureWithRetries(unsigned targets)
{
    Fixture fixture({}, targets);
    fixture.send(wholeGrant);
    fixture.now += seconds(5);
    return fixture;
}

}

TEST_GROUP(Requests) {};

TEST(Requests, ThatFindTheQueueFullAreRefusedAtOnce)
{
    Fixture fixture(serviceWith(1, 0), 1);
    fixture.submit();
    CHECK(fixture.first<StartAttempt>());
    fixture.submit();
    CHECK(fixture.first<Finish>()->outcome == Outcome::NotRun);
    CHECK(fixture.first<Finish>()->retryAfter >= seconds(1));
}

TEST(Requests, OfTheCallerWithMostQueuedAreDroppedFirst)
{
    Fixture fixture(serviceWith(1, 3), 1);
    for (int request = 0; request < 4; ++request)
        fixture.submit(true, "greedy");
    fixture.submit(true, "modest");
    CHECK_EQUAL(4, fixture.first<Finish>()->id.counter);
}

TEST(Requests, OfACallerWithLittleSlotTimeAreServedFirst)
{
    Fixture fixture(serviceWith(1, 10), 1);
    RequestId running = fixture.submit(true, "greedy");
    fixture.submit(true, "greedy");
    RequestId modest = fixture.submit(true, "modest");
    fixture.now += seconds(1);
    fixture.end(running, AttemptKind::Answered, 200);
    CHECK(fixture.first<StartAttempt>()->id == modest);
}

TEST(Requests, ThatCannotEndInTimeAreDroppedWhenTheirTurnComes)
{
    Fixture fixture(serviceWith(1, 10), 1);
    fixture.state.serviceTime.mean = seconds(8);
    fixture.state.document.queue.maxWait = seconds(9);
    RequestId running = fixture.submit();
    RequestId waiting = fixture.submit();
    fixture.now += seconds(3);
    fixture.end(running, AttemptKind::Answered, 200);
    CHECK(fixture.first<Finish>()->id == waiting);
    CHECK(fixture.first<Finish>()->reason == FinishReason::DeadlineExceeded);
}

TEST(Requests, RunAgainAfterAnEstimateThatWasTooHigh)
{
    Fixture fixture;
    fixture.state.serviceTime.mean = seconds(60);
    unsigned dropped = 0;
    for (; dropped < 100 && fixture.state.requests.empty(); ++dropped)
        fixture.submit();
    CHECK(fixture.first<StartAttempt>());
    CHECK(dropped < 40);
}

TEST(Requests, ThatAreIdempotentAreRetriedAtAnotherTarget)
{
    Fixture fixture = fixtureWithRetries(2);
    RequestId id = fixture.submit();
    TargetAddress before = fixture.first<StartAttempt>()->target;
    fixture.end(id, AttemptKind::MaybeRun);
    CHECK(fixture.first<StartAttempt>()->target != before);
    fixture.end(id, AttemptKind::MaybeRun);
    CHECK(fixture.first<Finish>()->outcome == Outcome::Unknown);
}

TEST(Requests, ThatAreNotIdempotentAreRetriedOnlyIfTheyDidNotRun)
{
    Fixture fixture = fixtureWithRetries(3);
    RequestId id = fixture.submit(false);
    fixture.end(id, AttemptKind::ConnectFailed);
    CHECK(fixture.first<StartAttempt>());
    fixture.end(id, AttemptKind::Shed, 503);
    CHECK(fixture.first<StartAttempt>());
    fixture.end(id, AttemptKind::MaybeRun);
    CHECK(fixture.first<Finish>()->outcome == Outcome::Unknown);
    CHECK_FALSE(fixture.first<StartAttempt>());
}

TEST(Requests, PassOnAPlain503OfANonIdempotentOne)
{
    Fixture fixture = fixtureWithRetries(2);
    RequestId id = fixture.submit(false);
    fixture.end(id, AttemptKind::Answered, 503);
    CHECK(fixture.first<PassAnswer>());
}

TEST(Requests, KeepTheirSlotUntilTheCancelIsConfirmed)
{
    Fixture fixture(serviceWith(1, 10), 1);
    RequestId id = fixture.submit(false);
    fixture.submit();
    fixture.send(Cancelled { id });
    CHECK(fixture.first<CancelAttempt>());
    CHECK(fixture.first<Finish>()->outcome == Outcome::Unknown);
    CHECK_FALSE(fixture.first<StartAttempt>());
    fixture.end(id, AttemptKind::Cancelled);
    CHECK(fixture.first<StartAttempt>());
}

TEST(Requests, CancelledAtTheirDeadlineAreEvidenceOfASlowTarget)
{
    Fixture fixture;
    RequestId id = fixture.submit();
    fixture.now += seconds(10);
    fixture.send(Tick {});
    CHECK(fixture.first<Finish>()->reason == FinishReason::DeadlineExceeded);
    fixture.end(id, AttemptKind::Cancelled);
    CHECK(fixture.first<Evidence>()->kind == EvidenceKind::Slow);
}

TEST(Requests, CancelledByTheirCallerAreEvidenceOnlyFarBeyondTheMeanTime)
{
    for (int lasted : { 1, 5 }) {
        Fixture fixture;
        fixture.state.serviceTime.mean = seconds(1);
        RequestId id = fixture.submit();
        fixture.now += seconds(lasted);
        fixture.send(Cancelled { id });
        fixture.end(id, AttemptKind::Cancelled);
        CHECK_EQUAL(lasted == 5, fixture.first<Evidence>() != nullptr);
    }
}

TEST(Requests, SubmittedTwiceRunOnce)
{
    Fixture fixture;
    RequestId id = fixture.submit(false);
    Ticket ticket = fixture.state.requests.at(id).ticket;
    fixture.end(id, AttemptKind::Answered, 200);
    fixture.send(Submit { ticket });
    CHECK(fixture.actions.empty());
}

TEST(Requests, ThatCrashedTwoTargetsAreRefusedAndReported)
{
    Fixture fixture = fixtureWithRetries(4);
    RequestId id = fixture.submit(true, "c", 77);
    fixture.end(id, AttemptKind::Crashed);
    CHECK(fixture.first<Evidence>()->kind == EvidenceKind::CrashExcluded);
    CHECK_EQUAL(77, fixture.first<CrashReport>()->fingerprint);
    fixture.end(id, AttemptKind::Crashed);
    CHECK_EQUAL(77, fixture.first<QuarantineNotice>()->fingerprint);
    CHECK(fixture.first<Finish>()->reason == FinishReason::RequestQuarantined);
    fixture.submit(true, "other", 77);
    CHECK(fixture.first<Finish>()->retryAfter == seconds(600));
    CHECK(fixture.first<Finish>()->outcome == Outcome::NotRun);
}

TEST(Requests, CrashASingleTargetTwiceAtMost)
{
    Fixture fixture({}, 1);
    for (int crash = 0; crash < 2; ++crash) {
        fixture.now += seconds(30);
        RequestId id = fixture.submit(false, "c", 77);
        fixture.end(id, AttemptKind::Crashed);
    }
    CHECK(fixture.first<QuarantineNotice>());
    fixture.submit(false, "c", 77);
    CHECK_FALSE(fixture.first<StartAttempt>());
}

TEST(Requests, BehindASuspectedRequestAreNotBlocked)
{
    Fixture fixture;
    fixture.send(CrashReport { 77, "t0" });
    fixture.submit(true, "c", 77);
    fixture.submit(true, "c", 77);
    CHECK_FALSE(fixture.first<StartAttempt>());
    RequestId other = fixture.submit(true, "c", 78);
    CHECK(fixture.first<StartAttempt>()->id == other);
}

TEST(Requests, ThatRanConcurrentlyWhenATargetCrashedCountOnce)
{
    Fixture fixture({}, 1);
    RequestId first = fixture.submit(false, "c", 77);
    RequestId second = fixture.submit(false, "d", 77);
    fixture.now += seconds(1);
    fixture.end(first, AttemptKind::Crashed);
    fixture.end(second, AttemptKind::Crashed);
    CHECK_FALSE(fixture.first<QuarantineNotice>());
}

TEST(Requests, ThatPeersReportAreRefusedToo)
{
    Fixture fixture;
    fixture.send(QuarantineNotice { 5, seconds(60) });
    fixture.submit(true, "c", 5);
    CHECK(fixture.first<Finish>());
    fixture.send(CrashReport { 6, "t0" });
    fixture.send(CrashReport { 6, "t0" });
    CHECK_FALSE(fixture.first<QuarantineNotice>());
    fixture.send(CrashReport { 6, "t1" });
    CHECK(fixture.first<QuarantineNotice>());
}

TEST(Requests, AreClearedOfSuspicionByAnAnswer)
{
    Fixture fixture;
    fixture.send(CrashReport { 6, "t0" });
    RequestId id = fixture.submit(true, "c", 6);
    fixture.end(id, AttemptKind::Answered, 200);
    fixture.send(CrashReport { 6, "t1" });
    CHECK_FALSE(fixture.first<QuarantineNotice>());
}
