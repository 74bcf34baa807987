#include "flamingowick/peers/Codec.h"

#include "flamingowick/model/Error.h"

#include <random>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::peers;

namespace {

const TimePoint start { std::chrono::hours(1) };

Envelope forwardEnvelope()
{
    ForwardRequest forward;
    forward.request.id = { { "vm-1", 7 }, 9 };
    forward.request.service = "reservas";
    forward.request.method = "POST";
    forward.request.body = std::string("a\0b", 3);
    forward.request.headers = { { "A", "1" }, { "A", "caf\xe9" } };
    forward.request.deadline = start + std::chrono::seconds(5);
    forward.request.idempotent = false;
    return { { "vm-1", 7 }, "127.0.0.1:9", 3, 1000, forward };
}

}

TEST_GROUP(Codec) {};

TEST(Codec, KeepsARequestWhole)
{
    Envelope read = decode(encode(forwardEnvelope(), start), start + std::chrono::hours(3), 1000);
    const Request& request = std::get<ForwardRequest>(read.message).request;
    CHECK(request.id == (RequestId { { "vm-1", 7 }, 9 }));
    CHECK(request.body == std::string("a\0b", 3));
    CHECK_EQUAL(2U, request.headers.size());
    // Latin-1, which is no valid UTF-8.
    CHECK(request.headers[1].value == "caf\xe9");
    CHECK(!request.idempotent);
    CHECK(request.deadline == start + std::chrono::hours(3) + std::chrono::seconds(5));
}

TEST(Codec, ShortensTheDeadlineByTheTimeUnderWay)
{
    Envelope read = decode(encode(forwardEnvelope(), start), start, 4000);
    CHECK(std::get<ForwardRequest>(read.message).request.deadline == start + std::chrono::seconds(2));
}

TEST(Codec, RefusesBytesThatAreNoEnvelope)
{
    CHECK_THROWS(PeerError, decode("", start, 0));
    std::mt19937 random(1);
    std::string good = encode(forwardEnvelope(), start);
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = good;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        try {
            decode(bytes, start, 0);
        } catch (const PeerError& error) {
            CHECK_EQUAL(301, error.number());
        }
    }
}
