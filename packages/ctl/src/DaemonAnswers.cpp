#include "flamingowick/ctl/detail/DaemonAnswers.h"

#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Adapters.h"

#include <nlohmann/json.hpp>

namespace flamingowick::ctl {

namespace {

    using Json = nlohmann::json;

    template <typename Value>
    std::optional<Value> parseBody(std::string_view body, Value (*read)(const Json&))
    {
        try {
            return read(Json::parse(body));
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    DaemonDocument readDocument(const Json& json)
    {
        DaemonDocument document;
        json.at("version").get_to(document.version);
        json.at("deleted").get_to(document.deleted);
        json.at("text").get_to(document.text);
        document.audit = configuration::parseAuditEntries(json.at("audit").dump()).value;
        return document;
    }

    DaemonStatusAnswer readStatus(const Json& json)
    {
        DaemonStatusAnswer answer;
        json.at("vm").get_to(answer.daemon.vm);
        json.at("failureDomain").get_to(answer.daemon.failureDomain);
        json.at("ready").get_to(answer.daemon.ready);
        answer.daemon.members = json.at("members").size();
        for (const Json& entry : json.at("services")) {
            DaemonServiceStatus service;
            entry.at("name").get_to(service.name);
            entry.at("version").get_to(service.version);
            entry.at("dispatcher").get_to(service.dispatcher);
            entry.at("targets").get_to(service.targets);
            entry.at("ejected").get_to(service.ejected);
            answer.services.push_back(std::move(service));
        }
        return answer;
    }

    EvidenceCount readEvidence(const Json& json, const std::string& symptom)
    {
        return { symptom, json.at("score").get<double>(), json.at("bad").get<double>(), json.at("total").get<double>() };
    }

    EjectionSummary readEjection(const Json& json)
    {
        EjectionSummary ejection;
        json.at("ejectedAtMs").get_to(ejection.ejectedAtMs);
        json.at("untilMs").get_to(ejection.untilMs);
        json.at("repeats").get_to(ejection.repeats);
        json.at("threshold").get_to(ejection.threshold);
        ejection.reason = readEvidence(json, json.at("symptom").get<std::string>());
        return ejection;
    }

    ExplainReport readExplanation(const Json& json)
    {
        ExplainReport report;
        json.at("target").get_to(report.target);
        json.at("standing").get_to(report.standing);
        json.at("share").get_to(report.share);
        json.at("heldBackByFloor").get_to(report.heldBackByFloor);
        json.at("sharedCause").get_to(report.sharedCause);
        json.at("threshold").get_to(report.threshold);
        json.at("observers").get_to(report.observers);
        for (const auto& [symptom, evidence] : json.at("evidence").items())
            report.evidence.push_back(readEvidence(evidence, symptom));
        if (json.contains("ejection"))
            report.ejection = readEjection(json.at("ejection"));
        return report;
    }

    std::string readDispatcher(const Json& json)
    {
        return json.at("dispatcher").get<std::string>();
    }

}

std::string documentPath(std::string_view service)
{
    return "/documents/" + escapeForUrl(service);
}

std::string explainPath(std::string_view service, std::string_view target)
{
    // The API reads parameters as they are; names and addresses hold nothing that needs escaping.
    return "/explain?service=" + std::string(service) + "&target=" + std::string(target);
}

std::optional<DaemonDocument> parseDaemonDocument(std::string_view body)
{
    return parseBody<DaemonDocument>(body, readDocument);
}

std::optional<DaemonStatusAnswer> parseDaemonStatus(std::string_view body)
{
    return parseBody<DaemonStatusAnswer>(body, readStatus);
}

std::optional<ExplainReport> parseExplanation(std::string_view body)
{
    return parseBody<ExplainReport>(body, readExplanation);
}

std::optional<std::string> parseDispatcher(std::string_view body)
{
    return parseBody<std::string>(body, readDispatcher);
}

FailureReport failureOf(std::string_view address, const DaemonAnswer& answer)
{
    std::string name(address);
    if (answer.status == 0)
        return { ExitCode::Unreachable, name + " can't be reached: " + answer.error };
    if (answer.status == httpUnauthorized)
        return { ExitCode::Failure, name + " refuses the token; give --token or FLAMINGOWICK_TOKEN" };
    return { ExitCode::Failure, name + " answered with status " + std::to_string(answer.status) };
}

}
