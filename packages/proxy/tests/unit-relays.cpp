#include "flamingowick/proxy/Relays.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::proxy;

TEST_GROUP(Relays)
{
    Fleet fleet;
    std::vector<double> links = std::vector<double>(44, 10);

    // Makes members of one failure domain that have these links, in Mbit/s; 0 for a daemon of an earlier release.
    void setLinks()
    {
        std::vector<FleetMember> members;
        for (std::size_t index = 0; index < links.size(); ++index)
            members.push_back({ "vm-" + std::to_string(index), "127.0.0.1:" + std::to_string(index + 1), "a", links[index] });
        setMembers(fleet, members, Clock::now());
    }

    std::vector<std::string> relays()
    {
        std::vector<std::string> names = relaysForDomain(fleet, "a", {});
        std::sort(names.begin(), names.end());
        return names;
    }

    // Returns the daemons that count themselves as relays of an earlier release's followers.
    std::vector<std::string> relaysOfEarlierRelease()
    {
        std::vector<std::string> names;
        for (std::size_t index = 0; index < links.size(); ++index) {
            fleet.self = "vm-" + std::to_string(index);
            if (isRelayOfEarlierRelease(fleet, "a", {}))
                names.push_back(fleet.self);
        }
        std::sort(names.begin(), names.end());
        return names;
    }
};

// Guards against a large configuration that waits for the narrow links of relays while others of the domain are broad.
TEST(Relays, AreTheDaemonsWithTheBroadestLinks)
{
    links[17] = 200;
    links[31] = 200;
    setLinks();
    CHECK(relays() == (std::vector<std::string> { "vm-17", "vm-31" }));
    CHECK(relaysOfEarlierRelease().empty());
}

// While VMs are replaced one after the other, daemons of an earlier release follow those that they choose, which have to
// watch the store.
TEST(Relays, ServeTheDaemonsOfAnEarlierReleaseToo)
{
    std::vector<double> known = links;
    links.assign(links.size(), 0);
    setLinks();
    const std::vector<std::string> chosenEarlier = relays();
    CHECK(relaysOfEarlierRelease() == chosenEarlier);
    links = known;
    links[17] = 200;
    links[31] = 200;
    links[40] = 0;
    setLinks();
    CHECK(relays() == (std::vector<std::string> { "vm-17", "vm-31" }));
    CHECK(relaysOfEarlierRelease() == chosenEarlier);
}

TEST(Relays, AreChosenAsInAnEarlierReleaseWhileTooFewDaemonsStateTheirLinks)
{
    links.assign(links.size(), 0);
    setLinks();
    const std::vector<std::string> chosenEarlier = relays();
    links[17] = 200;
    setLinks();
    CHECK(relays() == chosenEarlier);
}

// Guards against a relay that depends on the responses of the store to its own watches.
TEST(Relays, FollowAnotherRelayOfTheirDomain)
{
    links[17] = 200;
    links[31] = 200;
    setLinks();
    fleet.self = "vm-17";
    CHECK(relayForRelay(fleet, "a", {}) == "vm-31");
    fleet.self = "vm-31";
    CHECK(relayForRelay(fleet, "a", {}) == "vm-17");
}

TEST(Relays, FollowARelayOfTheNextDomainWhereTheirOwnHasNoOther)
{
    const auto setDomains = [this](const std::vector<std::string>& domains) {
        std::vector<FleetMember> members;
        members.reserve(domains.size());
        for (const std::string& domain : domains)
            members.push_back({ "vm-" + domain, "127.0.0.1:1", domain, 10 });
        setMembers(fleet, members, Clock::now());
    };
    setDomains({ "a", "b", "c" });
    fleet.self = "vm-b";
    CHECK(relayForRelay(fleet, "b", {}) == "vm-c");
    fleet.self = "vm-c";
    CHECK(relayForRelay(fleet, "c", {}) == "vm-a");
    setDomains({ "c" });
    CHECK_FALSE(relayForRelay(fleet, "c", {}).has_value());
}
