#include "flamingowick/ctl/Reports.h"
#include "flamingowick/ctl/RequestStory.h"

#include "flamingowick/configuration/OperatorText.h"
#include "flamingowick/settings/FindingText.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingowick::ctl {

namespace {

    constexpr double msPerSecond = 1000.0;

    std::string printable(std::string_view text)
    {
        std::string shown(text);
        std::ranges::replace_if(
            shown, [](char byte) { return static_cast<unsigned char>(byte) < 0x20U || byte == 0x7f; }, '?');
        return shown;
    }

    std::string decimal(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.4g", value);
        return text.data();
    }

    std::string joined(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const std::string& part : parts)
            text += (text.empty() ? "" : ", ") + printable(part);
        return text;
    }

    std::string by(const std::string& who)
    {
        return who.empty() ? "" : " by " + printable(who);
    }

    std::string render(const FailureReport& report)
    {
        return "flamingowickctl: " + printable(report.message) + "\n";
    }

    std::string render(const ValidateReport& report)
    {
        if (report.findings.empty())
            return printable(report.fileName) + ": service " + printable(report.service) + ", no findings\n";
        return settings::renderFindings(report.findings, report.fileName);
    }

    std::string render(const DiffReport& report)
    {
        if (report.storedVersion.empty())
            return "The platform holds no document of " + printable(report.service) + " yet.\n";
        std::string text = "Against version " + printable(report.storedVersion) + " of " + printable(report.service) + by(report.storedBy) + ":\n";
        if (report.changes.empty())
            return text + "no differences\n";
        return text + configuration::renderChanges(report.changes);
    }

    std::string describe(const ApplyReport& report)
    {
        const std::string stored = "stored as version " + printable(report.storedVersion);
        switch (report.outcome) {
        case ApplyOutcome::Accepted:
            return (report.unchanged ? "already " : "") + stored + ", accepted as version " + std::to_string(report.acceptedVersion);
        case ApplyOutcome::Refused:
            return stored + ", refused by the fleet; the last accepted document stays in force";
        case ApplyOutcome::Conflict:
            return "not written: the platform holds " + (report.storedVersion.empty() ? "none, or it could not be read" : "version " + printable(report.storedVersion) + by(report.storedBy));
        case ApplyOutcome::Superseded:
            return stored + ", replaced by another change before the fleet's verdict was seen";
        case ApplyOutcome::Pending:
            return stored + ", without a verdict of the fleet in time; look again with \"history\"";
        case ApplyOutcome::Unknown:
            return "it is unknown whether the change took effect; look with \"get\" whether the platform holds its id before trying again";
        }
        return "";
    }

    std::string render(const ApplyReport& report)
    {
        std::string text = printable(report.service) + ": " + describe(report) + "\n";
        text += "change id " + printable(report.changeId) + "\n";
        if (report.lostAnswers > 0)
            text += "lost answers: " + std::to_string(report.lostAnswers) + "\n";
        return text + settings::renderFindings(report.findings, report.service) + configuration::renderChanges(report.changes);
    }

    std::string render(const GetReport& report)
    {
        return report.text;
    }

    std::string render(const HistoryReport& report)
    {
        std::string text = "From " + printable(report.source) + ":\n" + configuration::renderAudit(report.entries);
        for (const Finding& gap : report.gaps)
            text += "incomplete: " + printable(gap.message) + "\n";
        return text;
    }

    std::string render(const StatusReport& report)
    {
        std::string text;
        for (const DaemonStatus& daemon : report.daemons) {
            if (!daemon.error.empty()) {
                text += "no answer: " + printable(daemon.error) + "\n";
                continue;
            }
            text += printable(daemon.vm) + "  " + printable(daemon.address) + "  " + printable(daemon.failureDomain);
            text += (daemon.ready ? "  ready" : "  not ready") + std::string("  sees ") + std::to_string(daemon.members) + " members\n";
        }
        for (const ServiceSummary& service : report.services) {
            text += printable(service.service) + "  version " + std::to_string(service.version) + "  in force on " + std::to_string(service.inForce) + " of "
                + std::to_string(service.daemons) + "  targets " + std::to_string(service.targets) + "  dispatcher " + joined(service.dispatchers);
            text += service.ejected.empty() ? "\n" : "  ejected: " + joined(service.ejected) + "\n";
        }
        return text;
    }

    std::string render(const StoredStatusReport& report)
    {
        return configuration::renderStatus(report.services);
    }

    std::string describeStanding(const ExplainReport& report)
    {
        if (report.standing == "ejected")
            return "is ejected and gets no requests";
        if (report.standing == "trickle")
            return "is on trial after an ejection and gets single idempotent requests";
        if (report.standing == "ramp")
            return "is coming back and gets " + decimal(report.share) + " of its ordinary share";
        return "is healthy and gets " + (report.share < 1 ? decimal(report.share) + " of " : std::string()) + "its ordinary share";
    }

    std::string describeSymptom(const std::string& symptom)
    {
        if (symptom == "errors")
            return "failed answers";
        if (symptom == "rareErrors")
            return "failed answers of a rarely failing kind";
        return symptom == "slowness" ? "slow answers" : printable(symptom);
    }

    std::string describeEvidence(const EvidenceCount& evidence, double threshold)
    {
        return describeSymptom(evidence.symptom) + ": " + decimal(evidence.bad) + " bad of " + decimal(evidence.total) + " requests, score "
            + decimal(evidence.score) + " against the threshold " + decimal(threshold);
    }

    std::string describeEjection(const ExplainReport& report)
    {
        const EjectionSummary& ejection = *report.ejection;
        std::string text = "It was ejected for " + describeEvidence(ejection.reason, ejection.threshold) + ".\n";
        text += "The ejection began at " + configuration::renderUtcTime(ejection.ejectedAtMs) + " and was set until "
            + configuration::renderUtcTime(ejection.untilMs) + " UTC, for ";
        text += decimal(static_cast<double>(ejection.untilMs - ejection.ejectedAtMs) / msPerSecond) + " s";
        return text + "; ejections counted before it: " + std::to_string(ejection.repeats) + ".\n";
    }

    std::string render(const ExplainReport& report)
    {
        std::string text = "Target " + printable(report.target) + " of " + printable(report.service) + " " + describeStanding(report) + ".\n";
        if (report.ejection)
            text += describeEjection(report);
        if (report.heldBackByFloor)
            text += "The evidence calls for an ejection, which the service's capacity floor holds back.\n";
        if (report.sharedCause)
            text += "Much of the pool is worse at once: a shared cause, for which no target is ejected.\n";
        text += "Evidence now, from " + std::to_string(report.observers) + " daemons:\n";
        for (const EvidenceCount& evidence : report.evidence)
            text += "    " + describeEvidence(evidence, report.threshold) + "\n";
        const std::string_view role = report.fromDispatcher ? ", the service's dispatcher.\n" : ", which isn't the service's dispatcher now.\n";
        return text + "Explained by the daemon at " + printable(report.source) + std::string(role);
    }

    std::string render(const StoryReport& report)
    {
        if (report.lines.empty())
            return "No line of the logs names request " + printable(report.requestId) + ".\n";
        std::string text = "Request " + printable(report.requestId) + ": " + concludeStory(report) + "\n";
        for (const StoryLine& line : report.lines)
            text += (line.aside ? "  . " : "    ") + printable(line.time) + "  " + printable(line.vm) + "  " + printable(describe(line)) + "\n";
        return text;
    }

}

std::string renderText(const Report& report)
{
    return std::visit([](const auto& each) { return render(each); }, report);
}

std::string renderNote(const GetReport& report)
{
    std::string text = printable(report.service) + " from " + printable(report.source) + ": ";
    if (!report.storedVersion.empty())
        text += "stored as version " + printable(report.storedVersion) + by(report.storedBy) + ", change id " + printable(report.changeId) + ", ";
    return text + "accepted version " + std::to_string(report.acceptedVersion) + (report.deleted ? ", withdrawn" : "") + "\n";
}

}
