#include "FakePlatform.h"

#include "flamingowick/configuration/Acceptance.h"
#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Stored.h"
#include "flamingowick/settings/ServiceDocumentText.h"

namespace flamingowick::ctl {

using platform::Plural;

std::string makeText(unsigned maxWaiting)
{
    return R"({"name": "ledger", "routes": [{"host": "ledger.example"}], "queue": {"maxWaiting": )" + std::to_string(maxWaiting) + "}}";
}

FakePlatform::FakePlatform(std::uint64_t seed, Faults given)
    : random(seed)
    , faults(given)
{
}

bool FakePlatform::happens(double share)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

std::map<std::string, platform::Object>& FakePlatform::objects(Plural plural)
{
    return this->stored[plural];
}

Ports FakePlatform::ports()
{
    Ports ports;
    ports.callPlatform = [this](const platform::Call& call) { return this->call(call); };
    ports.getFromDaemon = [this](std::string_view address, std::string_view path) {
        auto found = this->daemonAnswers.find(std::string(address) + std::string(path));
        return found == this->daemonAnswers.end() ? DaemonAnswer { 0, "", "no connection" } : found->second;
    };
    ports.pause = [](Duration duration) { Clock::advance(duration); };
    return ports;
}

void FakePlatform::writeAsOther(const std::string& service, const std::string& text)
{
    platform::Object object = makeSource(service, text);
    object.changeId = "other-" + std::to_string(++this->others);
    object.changedBy = "other";
    object.resourceVersion = std::to_string(++this->version);
    this->objects(Plural::ServiceDocuments)[service] = object;
}

platform::Result FakePlatform::call(const platform::Call& call)
{
    Clock::advance(std::chrono::milliseconds(5));
    if (!this->late.empty() && this->happens(0.3))
        this->deliverLateWrites();
    if (this->happens(this->faults.race)) {
        if (this->happens(0.2))
            this->objects(Plural::ServiceDocuments).erase("ledger");
        else
            this->writeAsOther("ledger", makeText(1000 + static_cast<unsigned>(this->others)));
    }
    if (this->happens(this->faults.unavailable))
        return platform::Unavailable { 0, "outage" };
    if (const auto* get = std::get_if<platform::Get>(&call))
        return this->read(*get);
    if (const auto* list = std::get_if<platform::List>(&call)) {
        platform::Found found;
        for (const auto& [name, object] : this->objects(list->plural))
            found.objects.push_back(object);
        return found;
    }
    return this->write(call);
}

platform::Result FakePlatform::read(const platform::Get& get)
{
    if (get.plural == Plural::AcceptedDocuments && !this->happens(this->faults.fleetAway))
        this->runFleet(get.name);
    auto& objects = this->objects(get.plural);
    auto found = objects.find(get.name);
    const bool isAbsent = found == objects.end();
    if (get.plural == Plural::ServiceDocuments && !this->firstReadVersion)
        this->firstReadVersion = isAbsent ? std::string() : found->second.resourceVersion;
    if (isAbsent)
        return platform::Absent {};
    return platform::Found { 0, { found->second }, found->second.resourceVersion };
}

platform::Result FakePlatform::write(const platform::Call& call)
{
    if (this->happens(this->faults.lostCall))
        return platform::UnknownOutcome { 0, "lost" };
    if (this->happens(this->faults.lateWrite)) {
        this->late.push_back(call);
        return platform::UnknownOutcome { 0, "lost" };
    }
    platform::Result result = this->writeNow(call);
    if (this->happens(this->faults.lostAnswer))
        return platform::UnknownOutcome { 0, "lost" };
    return result;
}

platform::Result FakePlatform::writeNow(const platform::Call& call)
{
    const auto* create = std::get_if<platform::Create>(&call);
    platform::Object object = create != nullptr ? create->object : std::get<platform::Put>(call).object;
    auto& objects = this->objects(object.plural);
    auto found = objects.find(object.name);
    const std::string held = found == objects.end() ? std::string() : found->second.resourceVersion;
    if (held != object.resourceVersion)
        return platform::Conflict {};
    this->taken.push_back({ object.changeId, held });
    object.resourceVersion = std::to_string(++this->version);
    objects[object.name] = object;
    return platform::Applied { 0, object };
}

void FakePlatform::deliverLateWrites()
{
    for (const platform::Call& call : this->late)
        this->writeNow(call);
    this->late.clear();
}

void FakePlatform::runFleet(const std::string& service)
{
    std::optional<configuration::SourceObject> source;
    auto& sources = this->objects(Plural::ServiceDocuments);
    if (auto found = sources.find(service); found != sources.end())
        source = configuration::SourceObject { service, found->second.resourceVersion, sourceText(found->second), found->second.changedBy };
    platform::Object& accepted = this->objects(Plural::AcceptedDocuments)[service];
    configuration::AcceptedDocument current = configuration::parseAcceptedDocument(accepted.specJson).value;
    current.service = service;
    if (current.revision > 0 && current.checked == configuration::markOf(source))
        return;
    const configuration::ChangeStamp stamp { "fleet-" + std::to_string(current.revision), 1'700'000'000'000 };
    accepted.specJson = configuration::acceptedDocumentJson(configuration::decideChange(current, source, settings::parseServiceDocument, stamp));
    accepted.resourceVersion = std::to_string(++this->version);
}

}
