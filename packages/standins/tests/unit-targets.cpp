#include "flamingowick/standins/StandinTargets.h"
#include "flamingowick/standins/detail/Asio.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <thread>

using namespace flamingowick;
using namespace flamingowick::standins;

namespace {

// A blocking HTTP client on one connection.
class Caller {
public:
    explicit Caller(std::uint16_t port)
    {
        this->socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& method, const std::string& path, const std::string& nonce, const std::string& body = {}, const std::string& timeout = "60000")
    {
        const std::string text = method + " " + path + " HTTP/1.1\r\nHost: t\r\nX-Nonce: " + nonce
            + "\r\nX-Timeout-Ms: " + timeout + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(this->socket, asio::buffer(text));
    }

    // Returns the head of the next answer and skips its body; empty when the connection closes.
    std::string receive()
    {
        asio::error_code error;
        const std::size_t size = asio::read_until(this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n", error);
        if (error)
            return {};
        std::string head = this->received.substr(0, size);
        const std::string_view field = "Content-Length: ";
        const std::size_t length = std::stoul(head.substr(head.find(field) + field.size()));
        while (this->received.size() < size + length)
            asio::read(this->socket, asio::dynamic_buffer(this->received), asio::transfer_at_least(1));
        this->received.erase(0, size + length);
        return head;
    }

    void close() { this->socket.close(); }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket { this->context };
    std::string received;
};

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

template <typename Predicate>
void awaitThat(Predicate predicate)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!predicate() && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK(predicate());
}

TargetOptions oneSlot()
{
    TargetOptions options;
    options.slots = 1;
    options.serviceTime = std::chrono::milliseconds(50);
    options.distribution = ServiceTimes::Fixed;
    return options;
}

}

TEST_GROUP(Targets)
{
    StandinTargets targets { oneSlot() };
    std::uint16_t port { targets.ports().front() };
};

TEST(Targets, EchoTheNonceAndKeepTheRun)
{
    Caller caller(this->port);
    caller.send("POST", "/pay", "n1", "body");
    const std::string head = caller.receive();
    CHECK(contains(head, "200 OK"));
    CHECK(contains(head, "X-Nonce: n1"));
    const TargetLedger ledger = this->targets.ledger(this->port);
    LONGS_EQUAL(1, ledger.runs.size());
    CHECK(ledger.runs.front().end == RunEnd::Answered);
    CHECK_EQUAL(std::string("n1"), ledger.runs.front().nonce);
}

TEST(Targets, ShedWhatExceedsTheSlotsAndSayThatItDidNotRun)
{
    Caller first(this->port);
    first.send("GET", "/", "n1");
    awaitThat([this] { return this->targets.ledger(this->port).running == 1; });
    Caller second(this->port);
    second.send("GET", "/", "n2");
    CHECK(contains(second.receive(), "X-Not-Run: shed"));
    CHECK(contains(first.receive(), "200 OK"));
    const TargetLedger ledger = this->targets.ledger(this->port);
    LONGS_EQUAL(1, ledger.runs.size());
    LONGS_EQUAL(1, ledger.shed);
    LONGS_EQUAL(1, ledger.maxRunning);
}

TEST(Targets, DrainEndsWhatRunsAndRefusesTheRest)
{
    Caller first(this->port);
    first.send("GET", "/", "n1");
    awaitThat([this] { return this->targets.ledger(this->port).running == 1; });
    this->targets.setFaults(this->port, { .drain = true });
    Caller second(this->port);
    second.send("GET", "/", "n2");
    CHECK(contains(second.receive(), "X-Not-Run: draining"));
    CHECK(contains(first.receive(), "X-Target-State: leaving"));
}

TEST(Targets, AnswerProbesWhileRequestsFail)
{
    this->targets.setFaults(this->port, { .requestsBad = true });
    Caller caller(this->port);
    caller.send("GET", "/healthz", "p");
    CHECK(contains(caller.receive(), "200 OK"));
    caller.send("GET", "/", "n1");
    CHECK(contains(caller.receive(), "500"));
    CHECK(this->targets.ledger(this->port).runs.front().end == RunEnd::Failed);
}

TEST(Targets, CrashOnTheMarkedRequestAndComeBack)
{
    this->targets.setFaults(this->port, { .crashMark = "poison", .crashDowntime = std::chrono::milliseconds(20) });
    Caller caller(this->port);
    caller.send("POST", "/", "n1", "some poison");
    CHECK_EQUAL(std::string(), caller.receive());
    CHECK(this->targets.ledger(this->port).runs.front().end == RunEnd::Crashed);
    awaitThat([this] {
        try {
            Caller again(this->port);
            again.send("GET", "/", "n2");
            return contains(again.receive(), "200 OK");
        } catch (const std::system_error&) {
            return false;
        }
    });
}

TEST(Targets, BreakOffTheRunOfACallerThatCloses)
{
    this->targets.setFaults(this->port, { .slowFactor = 10000 });
    Caller caller(this->port);
    caller.send("GET", "/", "n1");
    awaitThat([this] { return this->targets.ledger(this->port).running == 1; });
    caller.close();
    awaitThat([this] { return this->targets.ledger(this->port).running == 0; });
    CHECK(this->targets.ledger(this->port).runs.front().end == RunEnd::Cancelled);
}

TEST(Targets, RunAndNeverAnswerWhenReachableOneWay)
{
    this->targets.setFaults(this->port, { .oneWay = true });
    Caller caller(this->port);
    caller.send("GET", "/", "n1");
    awaitThat([this] {
        const TargetLedger ledger = this->targets.ledger(this->port);
        return !ledger.runs.empty() && ledger.runs.front().end == RunEnd::Unanswered;
    });
}

TEST(Targets, RunAfterAFreezeWhatCameMeanwhile)
{
    this->targets.setFaults(this->port, { .freeze = true });
    Caller caller(this->port);
    caller.send("GET", "/", "n1");
    CHECK(this->targets.ledger(this->port).runs.empty());
    this->targets.setFaults(this->port, {});
    CHECK(contains(caller.receive(), "200 OK"));
}

TEST(Targets, AreControlledOverHttpByPort)
{
    Caller control(this->targets.openControl(0));
    control.send("POST", "/control?port=" + std::to_string(this->port), "", R"({"drain":true})");
    CHECK(contains(control.receive(), "200 OK"));
    control.send("POST", "/control?port=" + std::to_string(this->port), "", R"({"drain":"yes"})");
    CHECK(contains(control.receive(), "400"));
    Caller caller(this->port);
    caller.send("GET", "/", "n1");
    CHECK(contains(caller.receive(), "X-Not-Run: draining"));
    control.send("GET", "/control/ledger?port=" + std::to_string(this->port), "");
    CHECK(contains(control.receive(), "200 OK"));
}

TEST(Targets, BreakOffARunAtItsDeadlineAndNeverStartOneAfterIt)
{
    this->targets.setFaults(this->port, { .slowFactor = 10000, .shed = false });
    Caller first(this->port);
    first.send("GET", "/", "n1", "", "100");
    awaitThat([this] { return this->targets.ledger(this->port).running == 1; });
    Caller second(this->port);
    second.send("GET", "/", "n2", "", "1");
    CHECK(contains(first.receive(), "504"));
    CHECK(contains(second.receive(), "X-Not-Run: deadline"));
    LONGS_EQUAL(1, this->targets.ledger(this->port).runs.size());
}
