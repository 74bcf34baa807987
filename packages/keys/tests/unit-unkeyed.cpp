#include "flamingowick/keys/UnkeyedAttempt.h"

#include <CppUTest/TestHarness.h>

#include "Environment.h"

#include <random>

using namespace flamingowick;
using namespace flamingowick::keys;

TEST_GROUP(UnkeyedAttempt)
{
    UnkeyedAttempt attempt;
};

TEST(UnkeyedAttempt, IsNotRunUntilItHasLeft)
{
    CHECK(tellableOutcome(attempt) == Outcome::NotRun);
    apply(attempt, UnkeyedEvent::GivenUp, 0);
    CHECK(tellableOutcome(attempt) == Outcome::NotRun);
    CHECK(!maySend(attempt));
}

TEST(UnkeyedAttempt, IsUnknownWhenAPooledConnectionClosesWithoutAnAnswer)
{
    apply(attempt, UnkeyedEvent::MayHaveLeft, 1);
    apply(attempt, UnkeyedEvent::ContactLost, 1);
    CHECK(tellableOutcome(attempt) == Outcome::Unknown);
    CHECK(!maySend(attempt));
}

TEST(UnkeyedAttempt, MayBeSentAgainOnlyAfterTheTargetsConfirmation)
{
    apply(attempt, UnkeyedEvent::MayHaveLeft, 1);
    CHECK(!maySend(attempt));
    apply(attempt, UnkeyedEvent::TargetConfirmedNotRun, 1);
    CHECK(maySend(attempt));
    apply(attempt, UnkeyedEvent::MayHaveLeft, 2);
    apply(attempt, UnkeyedEvent::TargetConfirmedNotRun, 1);
    CHECK(tellableOutcome(attempt) == Outcome::Unknown);
}

TEST(UnkeyedAttempt, ACancellationProvesNothingUntilItIsConfirmed)
{
    apply(attempt, UnkeyedEvent::SentToPeer, 1);
    apply(attempt, UnkeyedEvent::CancelSent, 1);
    CHECK(tellableOutcome(attempt) == Outcome::Unknown);
    apply(attempt, UnkeyedEvent::PeerConfirmedNotRun, 1);
    CHECK(tellableOutcome(attempt) == Outcome::NotRun);
}

// Applies random events to the tracker and compares it with the true state of each send.
TEST(UnkeyedAttempt, NeverSaysNotRunOrSendsAgainWhileASendMayHaveRun)
{
    constexpr std::uint64_t sequences = 20000;
    bool truthful = true;
    test::forEachSeed(sequences, [&](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        UnkeyedAttempt tracked;
        // Sends that are not confirmed as not run.
        unsigned open = 0;
        unsigned lastSend = 0;
        bool confirmed = false;
        for (int step = 0; step < 20; ++step) {
            auto event = static_cast<UnkeyedEvent>(random() % 8);
            bool sends = event == UnkeyedEvent::SentToPeer || event == UnkeyedEvent::MayHaveLeft;
            if (sends && maySend(tracked)) {
                apply(tracked, event, ++lastSend);
                ++open;
                confirmed = false;
            } else if (!sends) {
                unsigned send = lastSend == 0 ? 0 : 1 + static_cast<unsigned>(random() % lastSend);
                bool peer = tracked.phase == UnkeyedPhase::WithPeer;
                auto confirmation = peer ? UnkeyedEvent::PeerConfirmedNotRun : UnkeyedEvent::TargetConfirmedNotRun;
                bool settles = send == lastSend && event == confirmation && open > 0 && !confirmed
                    && (peer || tracked.phase == UnkeyedPhase::MayHaveRun);
                apply(tracked, event, send);
                if (settles) {
                    --open;
                    confirmed = true;
                }
            }
            bool mayReportNotRun = open == 0;
            truthful = truthful && (tellableOutcome(tracked) != Outcome::NotRun || mayReportNotRun) && (!maySend(tracked) || mayReportNotRun);
        }
        return truthful;
    });
    CHECK(truthful);
}
