#include "Recorder.h"

#include "flamingowick/platform/PlatformClient.h"

#include <asio.hpp>

#include <thread>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::platform;
using flamingowick::platform::testing::Recorder;

// Answers of a store that are none, or aren't whole.

namespace {

const std::string object = R"({"metadata":{"name":"r","resourceVersion":"2","annotations":{}},"spec":{"epoch":1}})";

// Answers the first call with the bytes, and closes the connection.
class ScriptedStore {
public:
    explicit ScriptedStore(std::string bytes)
        : thread([this, answer = std::move(bytes)] {
            asio::ip::tcp::socket socket = this->acceptor.accept();
            std::string request;
            asio::error_code ignored;
            asio::read_until(socket, asio::dynamic_buffer(request), "}", ignored);
            asio::write(socket, asio::buffer(answer), ignored);
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            asio::read(socket, asio::dynamic_buffer(request), ignored);
        })
    {
    }

    ~ScriptedStore() { this->thread.join(); }
    ScriptedStore(const ScriptedStore&) = delete;
    ScriptedStore& operator=(const ScriptedStore&) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

private:
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::thread thread;
};

// Writes an object to a store that answers with the bytes, and returns whether the client took them for an answer.
bool isAnswered(const std::string& head)
{
    ScriptedStore store(head + object);
    Recorder recorder;
    ClientSettings settings;
    settings.url = store.url();
    settings.vm = "vm-1";
    PlatformClient client(settings, recorder.handler());
    CHECK(client.submit(Put { 1, { Plural::KeyRanges, "r", "1", "c", "test", R"({"epoch":1})" } }));
    CHECK(recorder.awaitCount(1));
    return std::holds_alternative<Applied>(recorder.all().front());
}

std::string lengthField() { return "Content-Length: " + std::to_string(object.size()) + "\r\n"; }

}

TEST_GROUP(GarbledAnswers) {};

TEST(GarbledAnswers, WholeOnesAreTaken)
{
    CHECK(isAnswered("HTTP/1.1 200 OK\r\n" + lengthField() + "\r\n"));
}

TEST(GarbledAnswers, WithAStatusThatIsNoneAreNoAnswers)
{
    for (const std::string status : { "000", "0200", "20", "600" })
        CHECK_FALSE(isAnswered("HTTP/1.1 " + status + " OK\r\n" + lengthField() + "\r\n"));
}

TEST(GarbledAnswers, WithABlankOrAControlByteInTheNameOfAFieldAreNoAnswers)
{
    for (const std::string line : { "X Note: a", "X-Note : a", " X-Note: a", "X\x01Note: a", "note" })
        CHECK_FALSE(isAnswered("HTTP/1.1 200 OK\r\nX-Other: b\r\n" + line + "\r\n" + lengthField() + "\r\n"));
}

// Guards against an answer that ends with its connection, whether or not that was reset.
TEST(GarbledAnswers, WithoutALengthAreNoAnswers)
{
    CHECK_FALSE(isAnswered("HTTP/1.1 200 OK\r\nX-Other: b\r\n\r\n"));
}
