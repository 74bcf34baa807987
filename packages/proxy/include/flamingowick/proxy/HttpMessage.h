#pragma once

#include "flamingowick/model/Request.h"

#include <http_parser.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 messages and an incremental reader for them.
namespace flamingowick::proxy {

struct HttpMessage {
    std::string method;
    // Path and query as sent.
    std::string target;
    // 0 for requests.
    unsigned status { 0 };
    std::vector<Header> headers;
    std::string body;
    // Whether the connection may carry another message.
    bool keepAlive { false };
    // The body's end is the connection's end.
    bool closeEnded { false };
};

// Returns the value of the first header of that name, compared without regard to case; empty when
// there is none. Linear in the headers.
std::string_view headerValue(const HttpMessage&, std::string_view name) noexcept;

// Compares header names without regard to case.
bool sameName(std::string_view, std::string_view) noexcept;

// Tells whether a header concerns one connection only and is not forwarded: those of RFC 9110 and
// those that the message's Connection header names.
bool concernsConnection(const HttpMessage&, std::string_view name) noexcept;

// Returns the first line and headers of a request or answer; lines end with CR LF.
std::string_view reasonPhrase(unsigned status) noexcept;

struct ReadLimits {
    std::uint64_t maxHeaderBytes { 64U << 10U };
    std::uint64_t maxBodyBytes { 8U << 20U };
};

enum class ReadState : std::uint8_t {
    Incomplete,
    Complete,
    // The bytes are no message of the protocol.
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

// Reads one message after another out of a stream of bytes.
class MessageReader {
public:
    enum class Kind : std::uint8_t { Requests,
        Answers };

    MessageReader(Kind, ReadLimits);
    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    // Makes the reader ready for the next message; limits hold from then on. bodyless: the next
    // answer is to a HEAD request.
    void restart(ReadLimits, bool bodyless = false);

    // Takes bytes up to the end of the message and returns how many were taken. Linear in them.
    std::size_t take(std::string_view bytes);

    // Takes in the end of the stream, which completes a message without a length.
    void takeEnd();

    ReadState state() const noexcept { return this->readState; }
    // Whether any byte of the present message was seen.
    bool started() const noexcept { return this->begun; }
    bool headersComplete() const noexcept { return this->headersDone; }
    HttpMessage& message() noexcept { return this->current; }

private:
    static int onUrl(http_parser*, const char* text, std::size_t size);
    static int onHeaderName(http_parser*, const char* text, std::size_t size);
    static int onHeaderValue(http_parser*, const char* text, std::size_t size);
    static int onHeadersComplete(http_parser*);
    static int onBody(http_parser*, const char* text, std::size_t size);
    static int onComplete(http_parser*);
    bool addHeaderBytes(std::size_t size);

    Kind kind;
    ReadLimits limits;
    http_parser parser {};
    HttpMessage current;
    ReadState readState { ReadState::Incomplete };
    std::uint64_t headerBytes { 0 };
    bool begun { false };
    bool headersDone { false };
    bool bodyless { false };
    bool lastWasValue { false };
};

}
