#include "FakeFleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <span>
#include <utility>

using namespace flamingowick;
using namespace flamingowick::configuration;
using namespace flamingowick::configuration::tests;

namespace {

constexpr std::size_t documentBytes = 4096;

AcceptedDocument makeDocument(const std::string& service, std::uint64_t revision)
{
    AcceptedDocument document;
    document.service = service;
    document.version = document.revision = revision;
    document.text = service + " 1 ";
    document.text.append(documentBytes - document.text.size() - 3, ' ');
    document.text += " ok";
    return document;
}

std::size_t entryBytes(std::span<const DocumentRevision> entries)
{
    std::size_t bytes = 0;
    for (const DocumentRevision& entry : entries)
        bytes += entry.service.size() + sizeof(entry.revision);
    return bytes;
}

// Bytes of content, without the framing of the transport.
struct MessageSize {
    std::size_t operator()(const Announcement& message) const { return entryBytes(message.held); }
    std::size_t operator()(const DigestSummary&) const { return sizeof(DigestSummary); }
    std::size_t operator()(const DigestBuckets&) const { return sizeof(DigestBuckets); }
    std::size_t operator()(const DigestEntries& message) const { return entryBytes(message.held) + 2 * message.buckets.size(); }
    std::size_t operator()(const DocumentRequest& message) const
    {
        std::size_t bytes = 0;
        for (const std::string& service : message.services)
            bytes += service.size();
        return bytes;
    }
    std::size_t operator()(const DocumentBatch& message) const
    {
        std::size_t bytes = 0;
        for (const AcceptedDocument& document : message.documents)
            bytes += document.text.size();
        return bytes;
    }
};

struct Transit {
    std::size_t from;
    std::size_t to;
    PeerMessage message;
};

// Daemons on a network without faults, which carries messages in rounds.
struct Network {
    Policy policy { fakePolicy() };
    TimePoint now { std::chrono::seconds(1000) };
    std::vector<State> daemons;
    std::vector<Transit> transits;
    std::size_t bytes { 0 };
    std::size_t largest { 0 };
    std::size_t copies { 0 };

    explicit Network(std::size_t size)
    {
        MembersChanged members;
        for (std::size_t index = 0; index < size; ++index)
            members.members.push_back({ "vm" + std::to_string(index), "domain" + std::to_string(index % 3) });
        for (const Member& member : members.members) {
            this->daemons.push_back(makeState(member.vm, member.failureDomain, 1, 1, this->now));
            handle(this->daemons.back(), this->policy, members, this->now);
            // Daemons begin their exchanges at different times.
            this->daemons.back().lastDigest = this->now + std::chrono::milliseconds(this->daemons.size() % 10 * 100);
            this->daemons.back().ready = true;
        }
    }

    void give(std::size_t daemon, const Event& event)
    {
        for (Action& action : handle(this->daemons[daemon], this->policy, event, this->now)) {
            if (auto* sent = std::get_if<SendMessage>(&action))
                this->transits.push_back({ daemon, static_cast<std::size_t>(std::atoi(sent->to.substr(2).c_str())), std::move(sent->message) });
        }
    }

    // Carries messages until none is left, and returns the rounds that it took.
    std::size_t settle()
    {
        std::size_t rounds = 0;
        for (; !this->transits.empty(); ++rounds) {
            for (Transit& transit : std::exchange(this->transits, {})) {
                const std::size_t size = std::visit(MessageSize {}, transit.message);
                this->bytes += size;
                this->largest = std::max(this->largest, size);
                if (const auto* batch = std::get_if<DocumentBatch>(&transit.message))
                    this->copies += batch->documents.size();
                this->give(transit.to, MessageReceived { this->daemons[transit.from].vm, std::move(transit.message) });
            }
        }
        return rounds;
    }

    // Lets all daemons tick ten times a second for so many tenths, and carries their messages.
    void tick(std::size_t tenths)
    {
        for (; tenths > 0; --tenths) {
            this->now += std::chrono::milliseconds(100);
            for (std::size_t daemon = 0; daemon < this->daemons.size(); ++daemon)
                this->give(daemon, Tick {});
            this->settle();
        }
    }

    std::size_t countHolding(const std::string& service) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->daemons, [&](const State& daemon) { return findHeld(daemon, service) != nullptr; }));
    }
};

}

TEST_GROUP(ConfigurationScale) {};

TEST(ConfigurationScale, spreadsAChangeInOneCopyForEachDaemon)
{
    for (const std::size_t size : { std::size_t { 44 }, std::size_t { 300 }, std::size_t { 1000 } }) {
        Network network(size);
        network.give(0, AcceptedNoticed { { makeDocument("parts", 1), "o1" } });
        const std::size_t rounds = network.settle();
        const std::size_t announced = network.countHolding("parts");
        std::size_t tenths = 0;
        for (; network.countHolding("parts") < size && tenths < 100; ++tenths)
            network.tick(1);
        CHECK_EQUAL(size, network.countHolding("parts"));
        CHECK(network.copies <= size);
        std::printf("\n%zu daemons: announced to %zu in %zu rounds, all after %zu ms more, %zu bytes and %zu copies sent in all", size, announced,
            rounds, tenths * 100, network.bytes, network.copies);
    }
    std::printf("\n");
}

TEST(ConfigurationScale, exchangesDigestsOfManyDocumentsInFewBytes)
{
    for (const int services : { 1000, 3000, 10'000 }) {
        Network network(2);
        for (int service = 0; service < services; ++service) {
            const AcceptedDocument document = makeDocument("service" + std::to_string(service), 1);
            for (std::size_t daemon = 0; daemon < 2; ++daemon)
                network.give(daemon, MessageReceived { "vm1", DocumentBatch { { document } } });
            network.transits.clear();
        }
        network.tick(100);
        const std::size_t idle = network.bytes;
        network.bytes = 0;
        network.largest = 0;
        network.give(0, MessageReceived { "vm1", DocumentBatch { { makeDocument("service7", 2) } } });
        network.transits.clear();
        network.tick(20);
        CHECK(network.daemons[0].digest == network.daemons[1].digest);
        // 4 KB a second is the whole control budget of a daemon.
        CHECK(idle / 10 < 400);
        CHECK(network.largest < 8192);
        std::printf("\n%d documents: %zu bytes a second for two idle daemons, %zu bytes to repair one document, largest message %zu bytes",
            services, idle / 10, network.bytes, network.largest);
    }
    std::printf("\n");
}

TEST(ConfigurationScale, fillsADaemonThatBootsFromItsPeers)
{
    Network network(4);
    for (int service = 0; service < 1000; ++service) {
        for (std::size_t daemon = 0; daemon < 3; ++daemon)
            network.give(daemon, MessageReceived { "vm1", DocumentBatch { { makeDocument("service" + std::to_string(service), 1) } } });
        network.transits.clear();
    }
    network.daemons[3].ready = false;
    std::size_t tenths = 0;
    for (; !network.daemons[3].ready && tenths < 600; ++tenths)
        network.tick(1);
    CHECK(network.daemons[3].ready);
    CHECK_EQUAL(1000U, network.daemons[3].held.size());
    CHECK(network.largest <= maxBatchBytes);
    std::printf("\n1000 documents: a daemon that boots has them after %zu ms, %zu copies sent\n", tenths * 100, network.copies);
}
