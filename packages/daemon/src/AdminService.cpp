#include "flamingowick/daemon/AdminService.h"

#include "flamingowick/configuration/StoreText.h"

#include <nlohmann/json.hpp>

namespace flamingowick::daemon {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view documentsPrefix = "/documents/";

    gateway::HttpResponse jsonResponse(unsigned status, const Json& json)
    {
        gateway::HttpResponse response;
        response.status = status;
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body = json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
        return response;
    }

    gateway::HttpResponse plainResponse(unsigned status, std::string_view text)
    {
        gateway::HttpResponse response;
        response.status = status;
        response.headers.push_back({ "Content-Type", "text/plain" });
        response.body = text;
        return response;
    }

    // Returns the value of a query parameter, "" when absent.
    std::string_view parameter(std::string_view query, std::string_view name)
    {
        while (!query.empty()) {
            auto end = query.find('&');
            std::string_view pair = query.substr(0, end);
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
            auto equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                return pair.substr(equals + 1);
        }
        return {};
    }

    // Compares in a time that does not depend on where the texts differ.
    bool equalsInConstantTime(std::string_view left, std::string_view right)
    {
        if (left.size() != right.size())
            return false;
        unsigned difference = 0;
        for (std::size_t index = 0; index < left.size(); ++index)
            difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
        return difference == 0;
    }

    std::string_view standingName(health::Standing standing)
    {
        switch (standing) {
        case health::Standing::Healthy:
            return "healthy";
        case health::Standing::Ejected:
            return "ejected";
        case health::Standing::Trickle:
            return "trickle";
        case health::Standing::Ramp:
            return "ramp";
        }
        return "healthy";
    }

    std::string_view symptomName(health::Symptom symptom)
    {
        switch (symptom) {
        case health::Symptom::Errors:
            return "errors";
        case health::Symptom::RareErrors:
            return "rareErrors";
        case health::Symptom::Slowness:
            return "slowness";
        }
        return "errors";
    }

    Json recordJson(const health::EjectionRecord& record)
    {
        auto toMs = [](TimePoint time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count(); };
        return { { "ejectedAtMs", toMs(record.ejectedAt) }, { "untilMs", toMs(record.until) }, { "repeats", record.repeats },
            { "symptom", symptomName(record.reason.symptom) }, { "bad", record.reason.bad }, { "total", record.reason.total },
            { "score", record.reason.score }, { "threshold", record.reason.threshold } };
    }

    Json explanationJson(const health::Explanation& explanation)
    {
        Json json { { "target", explanation.target }, { "standing", standingName(explanation.standing.standing) },
            { "share", explanation.standing.share }, { "heldBackByFloor", explanation.heldBackByFloor },
            { "sharedCause", explanation.sharedCause }, { "threshold", explanation.threshold }, { "observers", explanation.observers } };
        for (std::size_t index = 0; index < explanation.scores.size(); ++index) {
            const health::Score& score = explanation.scores[index];
            json["evidence"][std::string(symptomName(static_cast<health::Symptom>(index)))] = { { "score", score.value }, { "bad", score.bad }, { "total", score.total } };
        }
        if (explanation.record)
            json["ejection"] = recordJson(*explanation.record);
        return json;
    }

}

AdminService::AdminService(AdminView seen)
    : view(seen)
{
}

void AdminService::receive(const gateway::HttpRequest& request, bool ready, TimePoint now)
{
    this->view.context.ports.respondAdmin(request.token, this->answer(request, ready, now));
}

gateway::HttpResponse AdminService::answer(const gateway::HttpRequest& request, bool ready, TimePoint now)
{
    std::string_view target = request.target;
    std::string_view path = target.substr(0, target.find('?'));
    std::string_view query = path.size() == target.size() ? std::string_view() : target.substr(path.size() + 1);
    if (request.method != "GET")
        return plainResponse(405, "only GET is served here\n");
    if (path == "/healthz")
        return plainResponse(200, "ok\n");
    if (path == "/readyz")
        return ready ? plainResponse(200, "ready\n") : plainResponse(503, "not ready\n");
    if (path == "/metrics")
        return this->metrics();
    if (!this->isAuthorized(request))
        return plainResponse(401, "a bearer token is needed\n");
    return this->answerOperator(path, query, ready, now);
}

gateway::HttpResponse AdminService::answerOperator(std::string_view path, std::string_view query, bool ready, TimePoint now)
{
    if (path == "/status")
        return this->status(ready);
    if (path == "/explain")
        return this->explain(query, now);
    if (path.starts_with(documentsPrefix))
        return this->document(path.substr(documentsPrefix.size()));
    return plainResponse(404, "no such path\n");
}

bool AdminService::isAuthorized(const gateway::HttpRequest& request) const
{
    const std::string* header = gateway::findHeader(request.headers, "Authorization");
    return header != nullptr && equalsInConstantTime(*header, "Bearer " + this->view.context.settings.adminToken);
}

gateway::HttpResponse AdminService::metrics()
{
    telemetry::Metrics& metrics = this->view.context.metrics;
    metrics.setGauge("flamingowick_members", {}, static_cast<double>(this->view.context.members.all().size()));
    metrics.setGauge("flamingowick_dispatching", {}, static_cast<double>(this->view.dispatch.active()));
    gateway::HttpResponse response = plainResponse(200, metrics.render());
    response.headers[0].value = "text/plain; version=0.0.4";
    return response;
}

gateway::HttpResponse AdminService::status(bool ready) const
{
    const CoreContext& context = this->view.context;
    Json json { { "vm", context.self.vm }, { "incarnation", context.self.incarnation }, { "ready", ready },
        { "failureDomain", context.settings.failureDomain }, { "watching", this->view.configuration.watching() } };
    json["members"] = Json::array();
    for (const auto& [vm, member] : context.members.all())
        json["members"].push_back({ { "vm", vm }, { "incarnation", member.id.incarnation }, { "failureDomain", member.failureDomain } });
    json["services"] = Json::array();
    for (const auto& [name, service] : context.catalogue.services()) {
        Json entry { { "name", name }, { "version", service.version }, { "dispatcher", context.members.orderFor(name).front() } };
        const TargetList* list = context.catalogue.targetsOf(name);
        entry["targets"] = list == nullptr ? 0 : list->targets.size();
        entry["ejected"] = this->view.dispatch.ejectedTargets(name);
        json["services"].push_back(std::move(entry));
    }
    std::size_t owned = 0;
    for (const auto& [id, holding] : this->view.keys.view().holdings)
        owned += holding.status == keys::HoldingStatus::Active ? 1 : 0;
    json["keyRangesOwned"] = owned;
    return jsonResponse(200, json);
}

gateway::HttpResponse AdminService::document(std::string_view service) const
{
    const configuration::HeldDocument* held = this->view.configuration.find(service);
    if (held == nullptr)
        return plainResponse(404, "no such service\n");
    const configuration::AcceptedDocument& document = held->document;
    Json json { { "service", document.service }, { "version", document.version }, { "revision", document.revision },
        { "appliedVersion", held->appliedVersion }, { "deleted", document.deleted }, { "text", document.text } };
    json["audit"] = Json::parse(configuration::auditEntriesJson(document.audit));
    return jsonResponse(200, json);
}

gateway::HttpResponse AdminService::explain(std::string_view query, TimePoint now) const
{
    std::string_view service = parameter(query, "service");
    std::string_view target = parameter(query, "target");
    auto explanation = this->view.dispatch.explain(service, target, now);
    if (explanation)
        return jsonResponse(200, explanationJson(*explanation));
    if (this->view.context.catalogue.find(service) == nullptr)
        return plainResponse(404, "no such service\n");
    return jsonResponse(404, { { "dispatcher", this->view.context.members.orderFor(service).front() } });
}

}
