#include "flamingowick/peers/PeerTransport.h"

#include "flamingowick/model/Error.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::peers;

namespace {

constexpr std::string_view anyAddress = "127.0.0.1:0";
// Nothing listens on this port.
constexpr std::string_view closedAddress = "127.0.0.1:1";

struct Peer {
    std::atomic<unsigned> received { 0 };
    std::atomic<unsigned> notSent { 0 };
    std::atomic<unsigned> linksLost { 0 };
    std::unique_ptr<PeerTransport> transport;

    Peer(const DaemonId& id, std::string_view address)
    {
        TransportSettings settings;
        settings.self = id;
        settings.address = address;
        TransportHandlers handlers;
        handlers.onMessage = [this](const Envelope&) { ++this->received; };
        handlers.onNotSent = [this](const std::string&, const Message&) { ++this->notSent; };
        handlers.onLinkLost = [this](const std::string&) { ++this->linksLost; };
        this->transport = std::make_unique<PeerTransport>(settings, handlers);
    }
};

// Sends until one message has arrived, since a connection takes a moment to open, and waits until each of them has arrived or come back.
void sendUntilReceived(Peer& from, Peer& to, Incarnation incarnation)
{
    unsigned sent = 0;
    while (to.received == 0) {
        from.transport->send(to.transport->address(), incarnation, KeyHeartbeat {});
        ++sent;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    while (to.received + from.notSent < sent)
        std::this_thread::yield();
}

}

TEST_GROUP(PeerTransport) {};

TEST(PeerTransport, HandsBackWhatNoOpenConnectionTook)
{
    Peer alone({ "a", 1 }, anyAddress);
    alone.transport->send(closedAddress, 0, KeyHeartbeat {});
    while (alone.notSent == 0)
        std::this_thread::yield();
    CHECK_EQUAL(1U, alone.notSent.load());
}

TEST(PeerTransport, DeliversToTheLifeThatIsMeantAndNoOther)
{
    Peer first({ "a", 1 }, anyAddress);
    Peer second({ "b", 5 }, anyAddress);
    sendUntilReceived(first, second, 5);
    unsigned before = second.received;
    first.transport->send(second.transport->address(), 4, KeyHeartbeat {});
    first.transport->send(second.transport->address(), 5, KeyHeartbeat {});
    while (second.received == before)
        std::this_thread::yield();
    CHECK_EQUAL(before + 1, second.received.load());
}

TEST(PeerTransport, ReportsALinkThatIsLost)
{
    Peer first({ "a", 1 }, anyAddress);
    {
        Peer second({ "b", 5 }, anyAddress);
        sendUntilReceived(first, second, 5);
    }
    while (first.linksLost == 0)
        std::this_thread::yield();
    CHECK(first.linksLost >= 1);
}

TEST(PeerTransport, RefusesAnAddressInUse)
{
    Peer first({ "a", 1 }, anyAddress);
    CHECK_THROWS(PeerError, Peer({ "b", 1 }, first.transport->address()));
}
