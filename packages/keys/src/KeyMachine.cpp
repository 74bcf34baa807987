#include "flamingowick/keys/KeyMachine.h"

#include "flamingowick/keys/detail/Parts.h"

namespace flamingowick::keys {

namespace {

    using namespace detail;

    void take(Context& context, const CallerRequest& event) { callerRequest(context, event.request); }
    void take(Context& context, const CallerGone& event) { callerGone(context, event.id); }
    void take(Context& context, const HeartbeatReceived& event)
    {
        heartbeatReceived(context, event);
        observePeerWall(context, event.wallMs);
    }

    void take(Context& context, const ForwardAnswered& event) { forwardAnswered(context, event); }
    void take(Context& context, const ForwardRefused& event) { forwardRefused(context, event); }
    void take(Context& context, const PeerUnreachable& event) { peerUnreachable(context, event.id); }
    void take(Context& context, const KeyedRequest& event) { keyedRequest(context, event); }
    void take(Context& context, const DispatchFinished& event) { dispatchFinished(context, event); }
    void take(Context& context, const CancelRequested& event) { cancelRequested(context, event.id); }
    void take(Context& context, const RecordWritten& event) { recordWritten(context, event); }
    void take(Context& context, const ClaimWanted& event) { claim(context, event.id); }
    void take(Context& context, const HandOverWanted& event) { handOver(context, event.id, event.successor); }
    void take(Context& context, const EntriesReceived& event) { entriesReceived(context, event.handed); }
    void take(Context& context, const EntriesAcknowledged& event) { entriesAcknowledged(context, event); }
    void take(Context& context, const HandedEntryFinished& event) { handedEntryFinished(context, event); }
    void take(Context& context, const DeathProven& event) { deathProven(context, event.daemon); }
    void take(Context& context, const PolicyChanged& event) { changePolicy(context, event); }
    void take(Context& context, const Stopping& event) { stop(context, event.keeper); }

    void take(Context& context, const OwnerAnnounced& event)
    {
        ownerAnnounced(context, event.record);
        peerCopy(context, event.record);
    }

    void take(Context& context, const RecordRead& event)
    {
        recordRead(context, event);
        if (event.result == ReadResult::Found)
            learnOwner(context, event.record);
        else
            noOwnerYet(context, event.id);
    }

    void take(Context& context, const Tick& event)
    {
        observeWall(context, event.wall);
        expireOwned(context);
        retryOwnership(context);
        expireAttempts(context);
        heartbeatReceived(context, { context.state.self, context.now, 0 });
        context.actions.emplace_back(SendHeartbeat { context.now, wallNow(context.state, context.now) });
    }

}

std::vector<Action> handle(State& state, const Event& event, TimePoint now)
{
    std::vector<Action> actions;
    Context context { state, actions, now };
    std::visit([&](const auto& one) { take(context, one); }, event);
    return actions;
}

}
