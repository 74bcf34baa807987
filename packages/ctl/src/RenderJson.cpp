#include "flamingowick/ctl/Reports.h"
#include "flamingowick/ctl/RequestStory.h"

#include "flamingowick/configuration/StoreText.h"

#include <nlohmann/json.hpp>

namespace flamingowick::ctl {

namespace {

    using Json = nlohmann::ordered_json;

    Json findingsJson(const std::vector<Finding>& findings)
    {
        Json list = Json::array();
        for (const Finding& finding : findings)
            list.push_back({ { "number", finding.number }, { "pointer", finding.pointer }, { "line", finding.line }, { "message", finding.message } });
        return list;
    }

    std::string_view nameOf(configuration::ChangeSide side)
    {
        switch (side) {
        case configuration::ChangeSide::Mine:
            return "mine";
        case configuration::ChangeSide::Theirs:
            return "theirs";
        case configuration::ChangeSide::Both:
            return "both";
        case configuration::ChangeSide::Conflict:
            return "conflict";
        }
        return "";
    }

    Json changesJson(const std::vector<configuration::DocumentChange>& changes)
    {
        Json list = Json::array();
        for (const configuration::DocumentChange& change : changes)
            list.push_back({ { "pointer", change.pointer }, { "side", nameOf(change.side) }, { "base", change.base }, { "mine", change.mine }, { "theirs", change.theirs } });
        return list;
    }

    std::string_view nameOf(ApplyOutcome outcome)
    {
        switch (outcome) {
        case ApplyOutcome::Accepted:
            return "accepted";
        case ApplyOutcome::Refused:
            return "refused";
        case ApplyOutcome::Conflict:
            return "conflict";
        case ApplyOutcome::Superseded:
            return "superseded";
        case ApplyOutcome::Pending:
            return "pending";
        case ApplyOutcome::Unknown:
            break;
        }
        return "unknown";
    }

    Json toJson(const FailureReport& report)
    {
        return { { "error", report.message } };
    }

    Json toJson(const ValidateReport& report)
    {
        return { { "file", report.fileName }, { "service", report.service }, { "findings", findingsJson(report.findings) } };
    }

    Json toJson(const DiffReport& report)
    {
        return { { "service", report.service }, { "storedVersion", report.storedVersion }, { "storedBy", report.storedBy }, { "threeWay", report.threeWay },
            { "changes", changesJson(report.changes) } };
    }

    Json toJson(const ApplyReport& report)
    {
        return { { "service", report.service }, { "outcome", nameOf(report.outcome) }, { "changeId", report.changeId }, { "storedVersion", report.storedVersion },
            { "storedBy", report.storedBy }, { "unchanged", report.unchanged }, { "lostAnswers", report.lostAnswers }, { "acceptedVersion", report.acceptedVersion },
            { "findings", findingsJson(report.findings) }, { "changes", changesJson(report.changes) } };
    }

    Json toJson(const GetReport& report)
    {
        return { { "service", report.service }, { "source", report.source }, { "storedVersion", report.storedVersion }, { "storedBy", report.storedBy }, { "changeId", report.changeId },
            { "acceptedVersion", report.acceptedVersion }, { "deleted", report.deleted }, { "text", report.text } };
    }

    Json toJson(const HistoryReport& report)
    {
        return { { "service", report.service }, { "source", report.source }, { "entries", Json::parse(configuration::auditEntriesJson(report.entries)) },
            { "gaps", findingsJson(report.gaps) } };
    }

    Json toJson(const DaemonStatus& daemon)
    {
        if (!daemon.error.empty())
            return { { "address", daemon.address }, { "error", daemon.error } };
        return { { "address", daemon.address }, { "vm", daemon.vm }, { "failureDomain", daemon.failureDomain }, { "ready", daemon.ready }, { "members", daemon.members } };
    }

    Json toJson(const ServiceSummary& service)
    {
        return { { "service", service.service }, { "version", service.version }, { "inForce", service.inForce }, { "daemons", service.daemons },
            { "targets", service.targets }, { "ejected", service.ejected }, { "dispatchers", service.dispatchers } };
    }

    Json toJson(const StatusReport& report)
    {
        Json json { { "daemons", Json::array() }, { "services", Json::array() } };
        for (const DaemonStatus& daemon : report.daemons)
            json["daemons"].push_back(toJson(daemon));
        for (const ServiceSummary& service : report.services)
            json["services"].push_back(toJson(service));
        return json;
    }

    Json toJson(const StoredStatusReport& report)
    {
        Json json { { "services", Json::array() } };
        for (const configuration::FleetServiceStatus& service : report.services)
            json["services"].push_back({ { "service", service.service }, { "version", service.version }, { "deleted", service.deleted }, { "daemons", service.daemons },
                { "inForce", service.inForce }, { "behind", service.behind }, { "asOfMs", service.asOfMs } });
        return json;
    }

    Json toJson(const EvidenceCount& evidence)
    {
        return { { "symptom", evidence.symptom }, { "bad", evidence.bad }, { "total", evidence.total }, { "score", evidence.score } };
    }

    Json toJson(const ExplainReport& report)
    {
        Json json { { "service", report.service }, { "target", report.target }, { "source", report.source }, { "fromDispatcher", report.fromDispatcher }, { "standing", report.standing }, { "share", report.share },
            { "heldBackByFloor", report.heldBackByFloor }, { "sharedCause", report.sharedCause }, { "observers", report.observers }, { "threshold", report.threshold } };
        json["evidence"] = Json::array();
        for (const EvidenceCount& evidence : report.evidence)
            json["evidence"].push_back(toJson(evidence));
        if (report.ejection) {
            json["ejection"] = { { "ejectedAtMs", report.ejection->ejectedAtMs }, { "untilMs", report.ejection->untilMs }, { "repeats", report.ejection->repeats },
                { "threshold", report.ejection->threshold }, { "reason", toJson(report.ejection->reason) } };
        }
        return json;
    }

    Json toJson(const StoryReport& report)
    {
        Json json { { "request", report.requestId }, { "conclusion", concludeStory(report) }, { "lines", Json::array() } };
        for (const StoryLine& line : report.lines) {
            Json shown { { "time", line.time }, { "vm", line.vm }, { "part", line.part }, { "event", line.event }, { "aside", line.aside }, { "says", describe(line) } };
            for (const auto& [name, value] : line.fields)
                shown["fields"][name] = value;
            json["lines"].push_back(std::move(shown));
        }
        return json;
    }

}

std::string renderJson(const Report& report)
{
    Json json = std::visit([](const auto& each) { return toJson(each); }, report);
    json["exitCode"] = static_cast<int>(exitCodeOf(report));
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
