// Comes first: the test harness defines the operator new as a macro.
#include <state.pb.h>

#include "ProxyTestBed.h"

#include "flamingowick/proxy/Compression.h"
#include "flamingowick/proxy/StateFeed.h"

#include <random>

using namespace flamingowick;
using namespace flamingowick::proxy;

namespace {

const FeedCallbacks noCallbacks { [](bool) {}, [](StateKind, const std::vector<StateChange>&, Duration) {}, [] { return Duration::zero(); }, [](const std::string&) {} };

// Returns a configuration in the form in which stores contain it, with routes of random names. The routes are the same for
// the same seed, so that one configuration extends another.
std::string configurationPayload(unsigned routeCount, unsigned version)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::mt19937 random(7);
    const auto randomText = [&](std::size_t length) {
        std::string text(length, '\0');
        for (char& letter : text)
            letter = letters[random() % letters.size()];
        return text;
    };
    std::string payload = "{\"version\":\"" + std::to_string(version) + "\",\"listeners\":[";
    for (unsigned index = 0; index < routeCount; ++index) {
        payload += index == 0 ? "" : ",";
        payload += R"({"host":")" + randomText(6) + R"(.example","routeRules":[{"name":"r-)" + randomText(7) + R"(","kind":"safe","targetLatency":"800ms","priority":2,"match":{"pathPrefix":"/)" + randomText(8) + R"(/"},"action":{"service":"stock","timeout":"1200ms","maxAttempts":2}}]})";
    }
    return payload + "]}";
}

// Daemons of one failure domain, some of which are relays that have the state from the store.
struct DomainOfFeeds {
    struct Daemon {
        std::string address { freeAddress() };
        Fleet fleet;
        telemetry::Metrics metrics;
        std::unique_ptr<StateFeed> feed;
    };

    DomainOfFeeds(ProxyTestBed& bed, unsigned count)
        : testBed(bed)
    {
        std::vector<FleetMember> members;
        for (unsigned index = 0; index < count; ++index) {
            this->daemons.push_back(std::make_unique<Daemon>());
            members.push_back({ "vm-" + std::to_string(index), this->daemons.back()->address, "a" });
        }
        for (unsigned index = 0; index < count; ++index) {
            Daemon& daemon = *this->daemons[index];
            daemon.fleet.self = members[index].name;
            setMembers(daemon.fleet, members, Clock::now());
            daemon.feed = std::make_unique<StateFeed>(bed.io, daemon.address, "a", daemon.fleet, bed.log, daemon.metrics, noCallbacks);
        }
    }

    // Applies a configuration at the relays, as from the store, and waits until all daemons have it.
    bool spread(std::uint64_t revision, const std::string& payload)
    {
        for (const auto& daemon : this->daemons) {
            daemon->feed->recordStoreContact();
            daemon->feed->reviewRoles();
            if (daemon->feed->isRelayDaemon())
                daemon->feed->applySnapshot(StateKind::Configuration, revision, std::vector<StateObject> { { "main", revision, payload } });
        }
        return this->testBed.runUntil([&] {
            return std::all_of(this->daemons.begin(), this->daemons.end(), [&](const auto& daemon) {
                const auto& objects = daemon->feed->cacheFor(StateKind::Configuration).objects;
                const auto found = objects.find("main");
                return found != objects.end() && found->second.revision == revision && found->second.payload == payload;
            });
        });
    }

    // Bytes that the relay with the most to send has sent to its followers.
    std::uint64_t mostBytesSent() const
    {
        std::uint64_t most = 0;
        for (const auto& daemon : this->daemons)
            most = std::max(most, daemon->metrics.counterValue("flamingowick_feed_sent_bytes_total"));
        return most;
    }

    ProxyTestBed& testBed;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

// Returns how long a link of 10 Mbit/s needs for the bytes.
Duration timeOnNarrowLink(std::uint64_t bytes)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) * 8 / 10e6));
}

}

TEST_GROUP(Feed)
{
    ProxyTestBed testBed;
    Fleet fleet;
    std::string address { freeAddress() };
    telemetry::Metrics metrics;
    StateFeed feed { testBed.io, address, "a", fleet, testBed.log, metrics, noCallbacks };

    std::string answerTo(const std::string& query)
    {
        RawCaller follower(testBed.io, address);
        follower.send("GET /state?" + query + " HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(testBed.runUntil([&] { return !follower.responses.empty(); }));
        return follower.responses.front().body;
    }
};

// Guards against a follower of an earlier release that polls without a pause, because it never acknowledges a kind that it
// does not know.
TEST(Feed, SendsAFollowerOnlyTheKindsThatItAsksFor)
{
    feed.applySnapshot(StateKind::Quarantines, 5, std::vector<StateObject> { { "refused-request", 5, "{}" } });
    CHECK(answerTo("configuration=0&targets=0&members=0&quarantines=0&").find("refused-request") != std::string::npos);
    CHECK(answerTo("configuration=0&targets=0&members=0&").find("refused-request") == std::string::npos);
}

// Guards against a large configuration that occupies the links of the relays for seconds: each of 42 followers was sent all
// of it by both of its relays.
TEST(Feed, SpreadsALargeConfigurationBeforeFollowersGiveUpOnTheirRelays)
{
    DomainOfFeeds domain(testBed, 44);
    CHECK(domain.spread(10, configurationPayload(18, 1)));
    testBed.runFor(milliseconds(600));
    const std::uint64_t before = domain.mostBytesSent();
    CHECK(domain.spread(11, configurationPayload(1418, 2)));
    testBed.runFor(milliseconds(600));
    CHECK_COMPARE(timeOnNarrowLink(domain.mostBytesSent() - before).count(), <, FeedLimits().maxContactAge.count());
}

// While VMs are replaced one after the other, daemons of two releases pass the state on to each other.
TEST(Feed, SendsAFollowerOfAnEarlierReleaseTheStateUncompressed)
{
    const std::string payload = configurationPayload(200, 1);
    feed.applySnapshot(StateKind::Configuration, 5, std::vector<StateObject> { { "main", 5, payload } });
    CHECK(answerTo("configuration=0&targets=0&members=0&quarantines=0&").find(payload) != std::string::npos);
    CHECK(answerTo("configuration=0&targets=0&members=0&quarantines=0&base=0&").find(payload) == std::string::npos);
}

TEST_GROUP(FeedFollower)
{
    ProxyTestBed testBed;
    std::vector<std::string> addresses { freeAddress(), freeAddress(), freeAddress() };
    std::vector<FleetMember> members;
    Fleet fleet;
    telemetry::Metrics metrics;
    std::unique_ptr<StateFeed> feed;
    // Stands for both relays; each answers with the result of the function.
    std::vector<std::unique_ptr<CallerServer>> relays;
    std::vector<std::string> polls;

    void start(const std::function<std::string(const std::string& target)>& answer)
    {
        for (std::size_t index = 0; index < addresses.size(); ++index)
            members.push_back({ "vm-" + std::to_string(index), addresses[index], "a" });
        setMembers(fleet, members, Clock::now());
        const std::vector<std::string> relayNames = relaysForDomain(fleet, "a", {});
        for (const FleetMember& member : members) {
            if (std::find(relayNames.begin(), relayNames.end(), member.name) == relayNames.end()) {
                fleet.self = member.name;
                feed = std::make_unique<StateFeed>(testBed.io, member.address, "a", fleet, testBed.log, metrics, noCallbacks);
                continue;
            }
            relays.push_back(std::make_unique<CallerServer>(testBed.io, member.address, 8, CallerServerHandlers { [] { return CallerLimits {}; }, [this, answer](const std::shared_ptr<CallerConnection>& poll) {
                polls.push_back(poll->request().target);
                HttpMessage response;
                response.status = 200;
                response.body = answer(poll->request().target);
                poll->respond(response); } }));
        }
        feed->recordStoreContact();
        feed->reviewRoles();
    }

    bool receives(const std::string& payload)
    {
        return testBed.runUntil([&] {
            const auto& objects = feed->cacheFor(StateKind::Configuration).objects;
            return !objects.empty() && objects.begin()->second.payload == payload;
        },
            seconds(3));
    }

    // Returns the configuration as a relay sends it.
    static wire::KindState configurationState(std::uint64_t revision, const std::string& payload)
    {
        wire::KindState state;
        state.set_kind(0);
        state.set_revision(revision);
        state.set_whole(true);
        wire::StateObject& object = *state.add_objects();
        object.set_name("main");
        object.set_revision(revision);
        object.set_payload(payload);
        return state;
    }

    static std::string plainAnswer(std::uint64_t revision, const std::string& payload)
    {
        wire::StateAnswer answer;
        *answer.add_kinds() = configurationState(revision, payload);
        return answer.SerializeAsString();
    }
};

TEST(FeedFollower, ReadsTheAnswerOfARelayOfAnEarlierRelease)
{
    const std::string payload = configurationPayload(200, 1);
    start([&](const std::string&) { return plainAnswer(5, payload); });
    CHECK(receives(payload));
}

// Guards against a follower that asks for the same state again and again because it can't read it.
TEST(FeedFollower, AsksForTheStateUncompressedOnceItCannotReadIt)
{
    const std::string payload = configurationPayload(200, 1);
    start([&](const std::string& target) {
        if (target.find("base=") == std::string::npos)
            return plainAnswer(5, payload);
        wire::StateAnswer answer;
        wire::CompressedKind& state = *answer.add_compressed_kinds();
        state.set_revision(5);
        state.set_content(compress(configurationState(5, payload).SerializeAsString(), "content that the follower lacks").value());
        state.set_base_revision(4);
        return answer.SerializeAsString();
    });
    CHECK(receives(payload));
}

TEST(FeedFollower, ReadsACompressedStateThatRefersToItsConfiguration)
{
    const std::string first = configurationPayload(200, 1);
    const std::string second = configurationPayload(201, 2);
    start([&](const std::string& target) {
        if (target.find("base=5") == std::string::npos)
            return plainAnswer(5, first);
        wire::StateAnswer answer;
        wire::CompressedKind& state = *answer.add_compressed_kinds();
        state.set_revision(6);
        state.set_content(compress(configurationState(6, second).SerializeAsString(), first).value());
        state.set_base_revision(5);
        return answer.SerializeAsString();
    });
    CHECK(receives(first));
    CHECK(receives(second));
}

namespace {

// A server that sends a response of some bytes one by one, at an interval, and then stops.
struct SlowServer {
    SlowServer(asio::io_context& io, unsigned bytesSent, Duration sendInterval)
        : acceptor(listenOn(io, address))
        , socket(io)
        , timer(io)
        , unsent(bytesSent)
        , interval(sendInterval)
    {
        acceptor.async_accept(socket, [this](const asio::error_code& error) {
            if (!error)
                sendHeader();
        });
    }

    void sendHeader()
    {
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n")));
        sendByte();
    }

    void sendByte()
    {
        timer.expires_after(interval);
        timer.async_wait([this](const asio::error_code& error) {
            asio::error_code ignored;
            if (error || unsent == 0)
                return;
            --unsent;
            asio::write(socket, asio::buffer(std::string_view("x")), ignored);
            sendByte();
        });
    }

    std::string address { freeAddress() };
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    Timer timer;
    unsigned unsent;
    Duration interval;
};

}

TEST_GROUP(SlowResponse)
{
    ProxyTestBed testBed;

    HttpResponse callTo(const SlowServer& server)
    {
        HttpClient client(testBed.io, server.address);
        HttpCall call;
        call.timeout = milliseconds(100);
        call.extension = milliseconds(150);
        std::optional<HttpResponse> received;
        client.call(call, [&](HttpResponse response) { received = std::move(response); });
        CHECK(testBed.runUntil([&] { return received.has_value(); }));
        return *received;
    }
};

// Guards against a follower that throws a large state away while it arrives over a narrow link, and asks for it again.
TEST(SlowResponse, IsAwaitedWhileItArrives)
{
    SlowServer server(testBed.io, 12, milliseconds(30));
    LONGS_EQUAL(200, callTo(server).status);
}

TEST(SlowResponse, FailsOnceNoMoreOfItArrives)
{
    SlowServer server(testBed.io, 8, milliseconds(30));
    const HttpResponse response = callTo(server);
    LONGS_EQUAL(0, response.status);
    STRCMP_EQUAL("timeout", response.reason.c_str());
    CHECK_COMPARE(response.bytesBeforeFailure, >, 8U);
}

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
