#include "flamingowick/ctl/Commands.h"
#include "flamingowick/ctl/Stored.h"
#include "flamingowick/ctl/detail/DaemonAnswers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace flamingowick::ctl {

namespace {

    // Adds a value to a list that is kept in order, once.
    void insertOnce(std::vector<std::string>& sorted, const std::string& value)
    {
        auto place = std::ranges::lower_bound(sorted, value);
        if (place == sorted.end() || *place != value)
            sorted.insert(place, value);
    }

    void addService(ServiceSummary& summary, const DaemonServiceStatus& service)
    {
        if (service.version > summary.version) {
            summary.version = service.version;
            summary.inForce = 0;
        }
        ++summary.daemons;
        summary.inForce += service.version == summary.version ? 1 : 0;
        summary.targets = std::max(summary.targets, service.targets);
        insertOnce(summary.dispatchers, service.dispatcher);
        for (const std::string& target : service.ejected)
            insertOnce(summary.ejected, target);
    }

    DaemonStatusAnswer askStatus(const Ports& ports, const std::string& address)
    {
        DaemonAnswer answer = ports.getFromDaemon(address, "/status");
        DaemonStatusAnswer status;
        if (answer.status != httpOk) {
            status.daemon.error = failureOf(address, answer).message;
        } else if (auto parsed = parseDaemonStatus(answer.body)) {
            status = std::move(*parsed);
        } else {
            status.daemon.error = address + " gave an answer that can't be read";
        }
        status.daemon.address = address;
        return status;
    }

    Report storedStatus(const Ports& ports)
    {
        platform::Result result = ports.callPlatform(platform::List { 0, platform::Plural::FleetStatuses });
        const auto* found = std::get_if<platform::Found>(&result);
        if (found == nullptr)
            return failureOf(result);
        std::vector<configuration::DomainStatus> statuses;
        for (const platform::Object& object : found->objects) {
            auto checked = configuration::parseDomainStatus(object.specJson);
            if (checked.accepted())
                statuses.push_back(std::move(checked.value));
        }
        if (statuses.empty())
            return FailureReport { ExitCode::Failure, "the platform holds no status that can be read; ask daemons with --daemons" };
        return StoredStatusReport { configuration::combineStatus(statuses) };
    }

    // A daemon to ask, and how many of the daemons name its VM as the service's dispatcher.
    struct Candidate {
        std::string address;
        std::string vm;
        // It says that it has ejected the target.
        bool ejects { false };
        std::size_t votes { 0 };

        auto rank() const { return std::pair(this->ejects, this->votes); }
    };

    // Returns the daemons in the order in which to ask them. Those that have ejected the target come first:
    // while members change there may be two dispatchers, of which one has. Then come dispatchers that many
    // name, since a daemon that was the dispatcher once may still explain what it saw then.
    std::vector<Candidate> orderForExplain(const Ports& ports, std::string_view service, std::string_view target, std::span<const std::string> daemons)
    {
        std::vector<Candidate> candidates;
        std::map<std::string, std::size_t> votes;
        for (const std::string& address : daemons) {
            DaemonStatusAnswer answer = askStatus(ports, address);
            candidates.push_back({ address, answer.daemon.vm, false, 0 });
            auto found = std::ranges::find(answer.services, service, &DaemonServiceStatus::name);
            if (found == answer.services.end())
                continue;
            ++votes[found->dispatcher];
            candidates.back().ejects = std::ranges::find(found->ejected, target) != found->ejected.end();
        }
        for (Candidate& candidate : candidates) {
            auto found = votes.find(candidate.vm);
            candidate.votes = found == votes.end() ? 0 : found->second;
        }
        std::ranges::stable_sort(candidates, std::greater(), &Candidate::rank);
        return candidates;
    }

    // Keeps the failure that tells more: an answer tells more than none.
    void keepTelling(FailureReport& kept, FailureReport next)
    {
        if (kept.exitCode == ExitCode::Unreachable || next.exitCode != ExitCode::Unreachable)
            kept = std::move(next);
    }

    FailureReport explainFailure(const std::string& address, std::string_view service, const DaemonAnswer& answer)
    {
        if (answer.status != httpNotFound)
            return failureOf(address, answer);
        if (auto dispatcher = parseDispatcher(answer.body))
            return { ExitCode::Failure, "none of the daemons knows the target; the service's dispatcher is on VM " + *dispatcher };
        return { ExitCode::Failure, "there is no service \"" + std::string(service) + "\"" };
    }

}

Report status(const Ports& ports, std::span<const std::string> daemons)
{
    if (daemons.empty())
        return storedStatus(ports);
    StatusReport report;
    std::map<std::string, ServiceSummary> services;
    for (const std::string& address : daemons) {
        DaemonStatusAnswer answer = askStatus(ports, address);
        for (const DaemonServiceStatus& service : answer.services) {
            ServiceSummary& summary = services[service.name];
            summary.service = service.name;
            addService(summary, service);
        }
        report.daemons.push_back(std::move(answer.daemon));
    }
    for (auto& [name, summary] : services)
        report.services.push_back(std::move(summary));
    return report;
}

Report explain(const Ports& ports, std::string_view service, std::string_view target, std::span<const std::string> daemons)
{
    if (daemons.empty())
        return FailureReport { ExitCode::BadInput, "explain asks daemons: give their addresses with --daemons" };
    FailureReport failure { ExitCode::Unreachable, "" };
    for (const Candidate& candidate : orderForExplain(ports, service, target, daemons)) {
        DaemonAnswer answer = ports.getFromDaemon(candidate.address, explainPath(service, target));
        if (answer.status != httpOk) {
            keepTelling(failure, explainFailure(candidate.address, service, answer));
            continue;
        }
        if (auto report = parseExplanation(answer.body)) {
            report->service = service;
            report->source = candidate.address;
            report->fromDispatcher = candidate.votes > 0;
            return *report;
        }
        keepTelling(failure, { ExitCode::Failure, candidate.address + " gave an answer that can't be read" });
    }
    return failure;
}

}
