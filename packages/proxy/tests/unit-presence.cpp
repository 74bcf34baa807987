// Comes first: the test harness defines the operator new as a macro.
#include <grants.pb.h>

#include "ProxyTestBed.h"

#include "flamingowick/proxy/PeerLink.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

namespace {

// The datagram of a daemon of an earlier release, which states no link: its incarnation, and a presence with name, address,
// a request for a reply, and failure domain.
constexpr std::string_view earlierDatagram("\x09\x07\x00\x00\x00\x00\x00\x00\x00\x32\x19\x0a\x04vm-1\x12\x0c"
                                           "127.0.0.1:70\x20\x01\x2a\x01z",
    36);

}

// While VMs are replaced one after the other, daemons of two releases send datagrams to each other.
TEST_GROUP(Presence)
{
    ProxyTestBed testBed;
    std::vector<PresenceMessage> received;
    std::string address { freeAddress() };
    PeerHandlers handlers;
    std::unique_ptr<PeerLink> link;

    void setup() override
    {
        handlers.onPresence = [this](const PeerSource&, const PresenceMessage& message) { received.push_back(message); };
        link = std::make_unique<PeerLink>(testBed.io, address, 7, handlers);
    }

    void deliver(std::string_view bytes)
    {
        asio::ip::udp::socket sender(testBed.io, asio::ip::udp::v4());
        sender.send_to(asio::buffer(bytes), parseUdpEndpoint(address));
        CHECK(testBed.runUntil([&] { return !received.empty(); }, seconds(2)));
    }
};

TEST(Presence, OfAnEarlierReleaseIsReadAsOneWhoseLinkIsNotKnown)
{
    deliver(earlierDatagram);
    CHECK_EQUAL(std::string("vm-1"), received.front().name);
    CHECK_EQUAL(std::string("z"), received.front().failureDomain);
    CHECK(received.front().wantsReply);
    DOUBLES_EQUAL(0, received.front().linkMbps, 0);
}

TEST(Presence, DiffersFromThatOfAnEarlierReleaseOnlyByTheLink)
{
    asio::ip::udp::socket receiver(testBed.io, parseUdpEndpoint(freeAddress()));
    receiver.non_blocking(true);
    link->send(receiver.local_endpoint().address().to_string() + ":" + std::to_string(receiver.local_endpoint().port()), PresenceMessage { "vm-1", "127.0.0.1:70", false, true, "z", 200 });
    std::string bytes(1000, '\0');
    std::size_t size = 0;
    CHECK(testBed.runUntil([&] {
        asio::error_code error;
        if (size == 0)
            size = receiver.receive(asio::buffer(bytes), 0, error);
        return size > 0;
    },
        seconds(2)));
    wire::Datagram datagram;
    CHECK(datagram.ParseFromArray(bytes.data(), static_cast<int>(size)));
    DOUBLES_EQUAL(200, datagram.presence().link_mbps(), 0);
    datagram.mutable_presence()->clear_link_mbps();
    CHECK(datagram.SerializeAsString() == earlierDatagram);
}

TEST(Presence, StatesNoLinkThatCannotBeOne)
{
    wire::Datagram datagram;
    CHECK(datagram.ParseFromString(std::string(earlierDatagram)));
    datagram.mutable_presence()->set_link_mbps(-5);
    deliver(datagram.SerializeAsString());
    DOUBLES_EQUAL(0, received.front().linkMbps, 0);
}
