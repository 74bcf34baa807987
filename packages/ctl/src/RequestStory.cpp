#include "flamingowick/ctl/RequestStory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <istream>
#include <set>

namespace flamingowick::ctl {

namespace {

    // Keeps the fields in the order of the line.
    using Json = nlohmann::ordered_json;

    std::optional<StoryLine> readLine(std::string_view text)
    {
        const std::size_t begin = text.find('{');
        if (begin == std::string_view::npos)
            return std::nullopt;
        const Json json = Json::parse(text.substr(begin), nullptr, false);
        if (!json.is_object())
            return std::nullopt;
        StoryLine line;
        for (const auto& [name, value] : json.items()) {
            const std::string shown = value.is_string() ? value.get<std::string>() : value.dump();
            if (name == "time")
                line.time = shown;
            else if (name == "vm")
                line.vm = shown;
            else if (name == "part")
                line.part = shown;
            else if (name == "event")
                line.event = shown;
            else
                line.fields.emplace_back(name, shown);
        }
        if (line.event.empty())
            return std::nullopt;
        return line;
    }

    std::string field(const StoryLine& line, std::string_view name)
    {
        const auto found = std::find_if(line.fields.begin(), line.fields.end(), [name](const auto& item) { return item.first == name; });
        return found == line.fields.end() ? std::string() : found->second;
    }

    bool isAboutTargets(const StoryLine& line)
    {
        static const std::set<std::string_view> events { "ejected", "readmitted", "leaving", "gone", "vanished-but-kept" };
        return events.find(line.event) != events.end();
    }

    const StoryLine* lastOf(const StoryReport& report, std::string_view event)
    {
        const auto found = std::find_if(report.lines.rbegin(), report.lines.rend(), [event](const StoryLine& line) { return line.event == event; });
        return found == report.lines.rend() ? nullptr : &*found;
    }

    std::string inputsOfChoice(const StoryLine& line)
    {
        return "believed failing with probability " + field(line, "failing") + ", " + field(line, "inFlight") + " in flight there, " + field(line, "waiting") + " waiting";
    }

}

std::string describe(const StoryLine& line)
{
    const auto is = [&line](std::string_view event) { return line.event == event; };
    if (is("routed"))
        return "entry: route " + field(line, "route") + " of configuration " + field(line, "configuration") + " (in force for " + field(line, "configurationAgeMs") + " ms) leads to service " + field(line, "service") + (field(line, "organisation").empty() ? "" : " for organisation " + field(line, "organisation")) + "; " + field(line, "leftMs") + " ms left";
    if (is("not-routed") && !field(line, "storeAway").empty())
        return "entry: not admitted, " + field(line, "reason") + " on route " + field(line, "route") + " in configuration " + field(line, "configuration") + (field(line, "storeAway") == "true" ? "; the store is away, so the key may have been added since" : "");
    if (is("key-gone"))
        return "entry: configuration " + field(line, "configuration") + " took the key away from organisation " + field(line, "organisation") + (field(line, "sent") == "true" ? "; the request is at a target and ends undisturbed" : "; the request was still waiting");
    if (is("over-allotment"))
        return "entry: organisation " + field(line, "organisation") + " is at its allotment of " + field(line, "ratePerSecond") + " a second and a burst of " + field(line, "burst") + "; here " + field(line, "askedHerePerSecond") + " a second were asked and " + field(line, "lentHerePerSecond") + " lent; decided by " + (field(line, "decidedBy").empty() ? "no holder" : field(line, "decidedBy")) + ", last heard " + field(line, "ageMs") + " ms ago; may come back in " + field(line, "retryAfterMs") + " ms";
    if (is("not-routed"))
        return "entry: not routed, " + field(line, "reason") + " for host " + field(line, "host") + " and path " + field(line, "path") + " in configuration " + field(line, "configuration");
    if (is("granted"))
        return "dispatcher: grants a slot of " + field(line, "target") + ", " + inputsOfChoice(line) + "; targets last changed " + field(line, "targetsAgeMs") + " ms ago";
    if (is("refused") && line.part == "dispatch")
        return "dispatcher: refuses, " + field(line, "reason") + ", " + field(line, "waiting") + " waiting";
    if (is("refused"))
        return "entry: told no by the dispatcher of " + field(line, "group") + ", " + field(line, "reason") + "; may come back in " + field(line, "retryAfterMs") + " ms";
    if (is("sent"))
        return "entry: attempt " + field(line, "attempt") + " goes to " + field(line, "target") + " at " + field(line, "address") + " by word of " + field(line, "dispatcher") + ", " + inputsOfChoice(line) + "; " + field(line, "ageMs") + " ms after the request began";
    if (is("attempt-failed"))
        return "entry: the attempt at " + field(line, "target") + " ended " + field(line, "outcome") + " (" + (field(line, "reason").empty() ? "status " + field(line, "status") : field(line, "reason")) + ") after " + field(line, "lastedMs") + " ms";
    if (is("hedged"))
        return "entry: no answer after " + field(line, "ageMs") + " ms, which is unusual: asks for a second target";
    if (is("grant-declined"))
        return "entry: doesn't use the grant of " + field(line, "target") + ": " + field(line, "reason");
    if (is("held-off"))
        return "entry: " + field(line, "target") + " wants no requests from this daemon for " + field(line, "forMs") + " ms";
    if (is("member-silent"))
        return "fleet: " + field(line, "member") + " does not answer and is passed over";
    if (is("answered"))
        return "entry: answers " + field(line, "status") + " (" + field(line, "reason") + (field(line, "target").empty() ? "" : " " + field(line, "target")) + ") after " + field(line, "tookMs") + " ms and " + field(line, "attempts") + " attempts";
    std::string text = line.part + ": " + line.event;
    for (const auto& [name, value] : line.fields)
        text.append(" ").append(name).append("=").append(value);
    return text;
}

std::string concludeStory(const StoryReport& report)
{
    const StoryLine* answered = lastOf(report, "answered");
    if (!answered)
        return lastOf(report, "not-routed") ? "was not routed." : "no answer is in these logs: lines were left out, or the daemon ended.";
    const std::string reason = field(*answered, "reason");
    const std::string status = field(*answered, "status");
    const StoryLine* sent = lastOf(report, "sent");
    const std::string target = sent ? field(*sent, "target") : std::string();
    if (reason == "target")
        return "the target " + field(*answered, "target") + " answered " + status + ".";
    if (reason == "caller-left")
        return "the caller left after " + field(*answered, "tookMs") + " ms.";
    if (reason == "over-allotment")
        return "refused with " + status + ": organisation " + field(*answered, "organisation") + " is at its allotment; it has not run.";
    if (reason == "deadline" && sent)
        return "its time ran out while " + target + " gave no answer; the target may have run it.";
    if (reason == "deadline")
        return "its time ran out before a slot was free; it has not run.";
    if (reason == "outcome-unknown")
        return "the connection to " + target + " broke or its answer was unusable; the target may have run it.";
    if (reason == "target-failed")
        return "the target " + target + " answered with a status that promises what it did not state; it may have run.";
    return "refused with " + status + ", " + reason + "; it has not run.";
}

StoryReport tellStory(std::span<std::istream* const> logs, std::string_view requestId)
{
    StoryReport report;
    report.requestId = requestId;
    std::vector<StoryLine> asides;
    std::set<std::string> targets;
    for (std::istream* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            std::optional<StoryLine> line = readLine(text);
            if (!line)
                continue;
            if (field(*line, "request") == requestId) {
                if (const std::string target = field(*line, "target"); !target.empty())
                    targets.insert(target);
                report.lines.push_back(std::move(*line));
            } else if (isAboutTargets(*line)) {
                line->aside = true;
                asides.push_back(std::move(*line));
            }
        }
    }
    const auto byTime = [](const StoryLine& a, const StoryLine& b) { return a.time < b.time; };
    std::stable_sort(report.lines.begin(), report.lines.end(), byTime);
    if (report.lines.empty())
        return report;
    const std::string first = report.lines.front().time;
    const std::string last = report.lines.back().time;
    for (StoryLine& aside : asides) {
        if (targets.find(field(aside, "target")) != targets.end() && aside.time >= first && aside.time <= last)
            report.lines.push_back(std::move(aside));
    }
    std::stable_sort(report.lines.begin(), report.lines.end(), byTime);
    return report;
}

}
