#include "flamingowick/configuration/StateMachine.h"

#include "flamingowick/configuration/detail/Acceptor.h"
#include "flamingowick/configuration/detail/Spread.h"
#include "flamingowick/model/Invariant.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace flamingowick::configuration {

namespace detail {

    namespace {

        void apply(Context& context, HeldDocument& held)
        {
            const AcceptedDocument& document = held.document;
            if (document.version == held.appliedVersion)
                return;
            ApplyDocument action { document.service, document.version, document.deleted, {} };
            if (!document.deleted) {
                Checked<ServiceDocument> checked = context.policy.check(document.text);
                if (!checked.accepted())
                    return;
                action.document = std::move(checked.value);
            }
            checkInvariant(document.version > held.appliedVersion, Invariant::ConfigurationMonotonic, "a document goes back to an older version");
            held.appliedVersion = document.version;
            context.actions.emplace_back(std::move(action));
        }

    }

    std::size_t randomBelow(RandomSource& random, std::size_t bound) noexcept
    {
        random.state = combineHashes(random.state, 1);
        return random.state % bound;
    }

    bool learn(Context& context, const AcceptedDocument& document)
    {
        State& state = context.state;
        const HeldDocument* known = findHeld(state, document.service);
        if (!context.policy.supersedes(known ? known->document : AcceptedDocument {}, document))
            return false;
        HeldDocument& held = state.held[document.service];
        checkInvariant(document.version >= held.document.version, Invariant::ConfigurationMonotonic, "an older version replaces a newer one");
        updateDigest(state.digest, document.service, held.document.revision, document.revision);
        held.document = document;
        apply(context, held);
        context.learned.push_back({ document.service, document.revision });
        reviewAttempt(context, document);
        return true;
    }

    namespace {

        // Takes up or lays down the watcher role after the members changed.
        void updateRole(Context& context)
        {
            State& state = context.state;
            const bool watcher = std::ranges::count(state.watchers, state.vm) > 0;
            if (watcher == state.watching)
                return;
            state.watching = watcher;
            if (watcher) {
                context.actions.emplace_back(StartWatch {});
                return;
            }
            state.attempts.clear();
            state.noticed.clear();
            state.listedStore = false;
            context.actions.emplace_back(StopWatch {});
        }

        void onEvent(Context& context, const MembersChanged& event)
        {
            State& state = context.state;
            state.watchers = watchersOf(event.members);
            state.localPeers.clear();
            state.peers.clear();
            for (const Member& member : event.members) {
                if (member.vm == state.vm)
                    continue;
                state.peers.push_back(member.vm);
                if (member.failureDomain == state.failureDomain)
                    state.localPeers.push_back(member.vm);
            }
            const std::set<std::string_view> live(state.peers.begin(), state.peers.end());
            std::erase_if(state.verdicts, [&](const auto& entry) { return !live.contains(entry.first); });
            updateRole(context);
        }

        void onEvent(Context& context, const SourceNoticed& event)
        {
            noticeSource(context, event.service, event.mark);
        }

        void onEvent(Context& context, const AcceptedNoticed& event)
        {
            learn(context, event.stored.document);
        }

        void onEvent(Context& context, const WatchListed& event)
        {
            State& state = context.state;
            if (!state.watching)
                return;
            for (const StoredDocument& stored : event.accepted)
                learn(context, stored.document);
            state.listedStore = true;
            std::set<std::string_view> present;
            for (const SourceNoticed& source : event.sources) {
                present.insert(source.service);
                noticeSource(context, source.service, source.mark);
            }
            // A source that isn't listed is gone.
            for (const auto& [service, held] : state.held) {
                if (!present.contains(service))
                    noticeSource(context, service, SourceMark {});
            }
        }

        void onEvent(Context& context, const WatchBroken&)
        {
            context.state.listedStore = false;
        }

        void onEvent(Context& context, const AcceptedRead& event) { onAcceptedRead(context, event); }

        void onEvent(Context& context, const SourceRead& event) { onSourceRead(context, event); }

        void onEvent(Context& context, const WriteAnswered& event) { onWriteAnswered(context, event); }

        void onEvent(Context& context, const ArchiveWritten& event) { onArchiveWritten(context, event); }

        void onEvent(Context& context, const CallFailed& event) { onCallFailed(context, event); }

        void onEvent(Context& context, const MessageReceived& event)
        {
            std::visit([&](const auto& message) { onMessage(context, event.from, message); }, event.message);
        }

        void onEvent(Context& context, const Tick&)
        {
            tickAttempts(context);
            tickDigest(context);
            tickReadiness(context);
        }

    }

}

State makeState(std::string_view vm, std::string_view failureDomain, std::uint64_t incarnation, std::uint64_t seed, TimePoint now)
{
    State state;
    state.vm = vm;
    state.failureDomain = failureDomain;
    state.incarnation = incarnation;
    state.graceSince = now;
    state.lastTick = now;
    state.random.state = combineHashes(seed, stableHash(vm));
    return state;
}

std::vector<Action> handle(State& state, const Policy& policy, const Event& event, TimePoint now)
{
    detail::Context context { state, policy, now, {}, {} };
    std::visit([&](const auto& known) { detail::onEvent(context, known); }, event);
    detail::announceLearned(context);
    return std::move(context.actions);
}

const HeldDocument* findHeld(const State& state, std::string_view service) noexcept
{
    const auto found = state.held.find(service);
    return found == state.held.end() ? nullptr : &found->second;
}

}
