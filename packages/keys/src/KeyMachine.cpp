#include "flamingowick/keys/KeyMachine.h"

#include "flamingowick/keys/detail/Parts.h"

namespace flamingowick::keys {

namespace {

    using namespace detail;

    void handleEvent(Context& context, const CallerRequest& event) { handleCallerRequest(context, event.request); }
    void handleEvent(Context& context, const CallerGone& event) { handleCallerGone(context, event.id); }
    void handleEvent(Context& context, const HeartbeatReceived& event)
    {
        handleHeartbeat(context, event);
        observePeerWallClock(context, event.wallMs);
    }

    void handleEvent(Context& context, const ForwardAnswered& event) { handleForwardAnswered(context, event); }
    void handleEvent(Context& context, const ForwardRefused& event) { handleForwardRefused(context, event); }
    void handleEvent(Context& context, const PeerUnreachable& event) { handlePeerUnreachable(context, event.id); }
    void handleEvent(Context& context, const KeyedRequest& event) { handleKeyedRequest(context, event); }
    void handleEvent(Context& context, const DispatchFinished& event) { handleDispatchFinished(context, event); }
    void handleEvent(Context& context, const CancelRequested& event) { handleCancelRequested(context, event.id); }
    void handleEvent(Context& context, const RecordWritten& event) { handleRecordWritten(context, event); }
    void handleEvent(Context& context, const ClaimWanted& event) { claimRange(context, event.id); }
    void handleEvent(Context& context, const HandOverWanted& event) { beginHandOver(context, event.id, event.successor); }
    void handleEvent(Context& context, const EntriesReceived& event) { handleEntriesReceived(context, event.handed); }
    void handleEvent(Context& context, const EntriesAcknowledged& event) { handleEntriesAcknowledged(context, event); }
    void handleEvent(Context& context, const HandedEntryFinished& event) { handleHandedEntryFinished(context, event); }
    void handleEvent(Context& context, const DeathProven& event) { handleDeathProven(context, event.daemon); }
    void handleEvent(Context& context, const PolicyChanged& event) { applyPolicy(context, event); }
    void handleEvent(Context& context, const Stopping& event) { handOverAllRanges(context, event.keeper); }

    void handleEvent(Context& context, const OwnerAnnounced& event)
    {
        handleOwnerAnnounced(context, event.record);
        handlePeerRecord(context, event.record);
    }

    void handleEvent(Context& context, const RecordRead& event)
    {
        handleRecordRead(context, event);
        if (event.result == ReadResult::Found)
            updateOwnerView(context, event.record);
        else
            handleOwnerLookupFailed(context, event.id);
    }

    void handleEvent(Context& context, const Tick& event)
    {
        observeWallClock(context, event.wall);
        expireOwnedEntries(context);
        retryOwnership(context);
        expireAttempts(context);
        handleHeartbeat(context, { context.state.self, context.now, 0 });
        context.actions.emplace_back(SendHeartbeat { context.now, wallClockNowMs(context.state, context.now) });
    }

}

std::vector<Action> handle(State& state, const Event& event, TimePoint now)
{
    std::vector<Action> actions;
    Context context { state, actions, now };
    std::visit([&](const auto& typedEvent) { handleEvent(context, typedEvent); }, event);
    return actions;
}

}
