#include "WatchState.h"

#include "flamingowick/platform/detail/Backoff.h"
#include "flamingowick/platform/detail/Wire.h"

#include <algorithm>
#include <utility>

namespace flamingowick::platform {

namespace {

    // Gives the snapshot that a list's body holds. Returns false when it holds none.
    bool takeSnapshot(WatchCourse& course, std::string_view body, std::vector<Result>& results)
    {
        std::optional<detail::ObjectList> list = detail::decodeList(course.plural, body);
        if (!list)
            return false;
        course.version = list->resourceVersion;
        course.following = true;
        course.interrupted = false;
        results.emplace_back(WatchSnapshot { course.id, std::move(list->objects), course.version });
        return true;
    }

    // Takes one line. Returns false when the request is to be broken off.
    bool takeLine(WatchCourse& course, const std::string& text, WatchEvents& changes)
    {
        detail::WatchLine line = detail::decodeWatchLine(course.plural, text);
        switch (line.kind) {
        case detail::WatchLineKind::Change:
            changes.events.push_back(std::move(line.event));
            course.version = std::move(line.resourceVersion);
            return true;
        case detail::WatchLineKind::Bookmark:
            course.version = std::move(line.resourceVersion);
            return true;
        case detail::WatchLineKind::Expired:
            course.expired = true;
            return false;
        case detail::WatchLineKind::Failure:
            return false;
        }
        return false;
    }

    void fail(WatchCourse& course, TimePoint now, const WatchLimits& limits, std::mt19937_64& random)
    {
        ++course.failures;
        course.notBefore = now + detail::backoff(course.failures, limits.minBackoff, limits.maxBackoff, random);
    }

    std::string reasonOf(const Exchange& exchange)
    {
        return exchange.error.empty() ? "status " + std::to_string(exchange.status) : exchange.error;
    }

}

void startRequest(WatchCourse& course, std::uint64_t transfer, TimePoint now)
{
    course.transfer = transfer;
    course.startedAt = now;
    course.expired = false;
    course.splitter = detail::LineSplitter(course.maxEventBytes);
}

void takeBegin(WatchCourse& course, std::vector<Result>& results)
{
    course.failures = 0;
    course.interrupted = false;
    results.emplace_back(WatchEvents { course.id, {}, course.version });
}

bool takeBytes(WatchCourse& course, std::string_view bytes, std::vector<Result>& results)
{
    std::vector<std::string> lines;
    bool usable = course.splitter.append(bytes, lines);
    WatchEvents changes { course.id, {}, {} };
    for (const std::string& line : lines) {
        if (!takeLine(course, line, changes)) {
            usable = false;
            break;
        }
    }
    changes.resourceVersion = course.version;
    if (!changes.events.empty())
        results.emplace_back(std::move(changes));
    return usable;
}

void takeEnd(WatchCourse& course, const Exchange& exchange, Verdict verdict, std::string_view body, TimePoint now, const WatchLimits& limits, std::mt19937_64& random, std::vector<Result>& results)
{
    course.transfer.reset();
    if (course.following && (course.expired || verdict == Verdict::Expired)) {
        course.following = false;
        fail(course, now, limits, random);
        return;
    }
    if (verdict == Verdict::Done && course.following) {
        course.notBefore = std::max(now, course.startedAt + limits.minBackoff);
        return;
    }
    if (verdict == Verdict::Done && takeSnapshot(course, body, results)) {
        course.notBefore = now;
        return;
    }
    fail(course, now, limits, random);
    if (!std::exchange(course.interrupted, true))
        results.emplace_back(WatchInterrupted { course.id, reasonOf(exchange) });
}

}
