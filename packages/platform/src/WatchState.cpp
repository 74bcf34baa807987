#include "WatchState.h"

#include "flamingowick/platform/detail/Backoff.h"
#include "flamingowick/platform/detail/Wire.h"

#include <algorithm>
#include <utility>

namespace flamingowick::platform {

namespace {

    // Adds the snapshot in the body of a list response to results. Returns false when the body is not a valid list.
    bool applyList(WatchState& state, std::string_view body, std::vector<Result>& results)
    {
        std::optional<detail::ObjectList> list = detail::decodeList(state.plural, body);
        if (!list)
            return false;
        state.resourceVersion = list->resourceVersion;
        state.following = true;
        state.interruptionReported = false;
        results.emplace_back(WatchSnapshot { state.id, std::move(list->objects), state.resourceVersion });
        return true;
    }

    // Applies one line of a watch response. Returns false when the request must be cancelled.
    bool applyLine(WatchState& state, const std::string& text, WatchEvents& changes)
    {
        detail::WatchLine line = detail::decodeWatchLine(state.plural, text);
        switch (line.kind) {
        case detail::WatchLineKind::Change:
            changes.events.push_back(std::move(line.event));
            state.resourceVersion = std::move(line.resourceVersion);
            return true;
        case detail::WatchLineKind::Bookmark:
            state.resourceVersion = std::move(line.resourceVersion);
            return true;
        case detail::WatchLineKind::Expired:
            state.expired = true;
            return false;
        case detail::WatchLineKind::Failure:
            return false;
        }
        return false;
    }

    void recordFailure(WatchState& state, TimePoint now, const BackoffLimits& limits, std::mt19937_64& random)
    {
        ++state.consecutiveFailures;
        state.nextRequestAt = now + detail::backoffDelay(state.consecutiveFailures, limits.minBackoff, limits.maxBackoff, random);
    }

    std::string failureReason(const Exchange& exchange)
    {
        return exchange.error.empty() ? "status " + std::to_string(exchange.status) : exchange.error;
    }

}

void recordRequestStart(WatchState& state, std::uint64_t transfer, TimePoint now)
{
    state.transfer = transfer;
    state.requestStartedAt = now;
    state.expired = false;
    state.splitter = detail::LineSplitter(state.maxEventBytes);
}

void handleWatchAccepted(WatchState& state, std::vector<Result>& results)
{
    state.consecutiveFailures = 0;
    state.interruptionReported = false;
    results.emplace_back(WatchEvents { state.id, {}, state.resourceVersion });
}

bool handleWatchBytes(WatchState& state, std::string_view bytes, std::vector<Result>& results)
{
    std::vector<std::string> lines;
    bool isValid = state.splitter.append(bytes, lines);
    WatchEvents changes { state.id, {}, {} };
    for (const std::string& line : lines) {
        if (!applyLine(state, line, changes)) {
            isValid = false;
            break;
        }
    }
    changes.resourceVersion = state.resourceVersion;
    if (!changes.events.empty())
        results.emplace_back(std::move(changes));
    return isValid;
}

void handleRequestEnd(WatchState& state, const Exchange& exchange, Verdict verdict, std::string_view body, TimePoint now, const BackoffLimits& limits, std::mt19937_64& random, std::vector<Result>& results)
{
    state.transfer.reset();
    if (state.following && (state.expired || verdict == Verdict::Expired)) {
        state.following = false;
        recordFailure(state, now, limits, random);
        return;
    }
    if (verdict == Verdict::Done && state.following) {
        state.nextRequestAt = std::max(now, state.requestStartedAt + limits.minBackoff);
        return;
    }
    if (verdict == Verdict::Done && applyList(state, body, results)) {
        state.nextRequestAt = now;
        return;
    }
    recordFailure(state, now, limits, random);
    if (!std::exchange(state.interruptionReported, true))
        results.emplace_back(WatchInterrupted { state.id, failureReason(exchange) });
}

}
