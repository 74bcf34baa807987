#pragma once

#include "flamingowick/model/Request.h"

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// HTTP/1.1 messages and an incremental parser for them.
namespace flamingowick::proxy {

struct HttpMessage {
    std::string method;
    // Request target: path and query as sent.
    std::string target;
    // 0 for requests.
    unsigned status { 0 };
    std::vector<Header> headers;
    std::string body;
    // Whether the connection can be reused after this message.
    bool keepAlive { false };
    // The body has no length and ends when the connection is closed.
    bool bodyEndsAtClose { false };
};

// Returns the value of the first header of that name, compared without regard to case, or an empty string if there is
// none. Linear in the headers.
std::string_view headerValue(const HttpMessage&, std::string_view name) noexcept;

// Compares header names without regard to case.
bool headerNamesEqual(std::string_view, std::string_view) noexcept;

// Whether a header is hop-by-hop and must not be forwarded: those of RFC 9110, and those that the message's Connection
// header lists. Linear in the headers.
bool isHopByHopHeader(const HttpMessage&, std::string_view name) noexcept;

// Returns the reason phrase of the status line, such as "Not Found".
std::string_view reasonPhrase(unsigned status) noexcept;

struct ReadLimits {
    std::uint64_t maxHeaderBytes { 64U << 10U };
    std::uint64_t maxBodyBytes { 8U << 20U };
    std::size_t maxHeaderFields { std::numeric_limits<std::size_t>::max() };
};

enum class ReadState : std::uint8_t {
    Incomplete,
    Complete,
    // The bytes are not a valid HTTP/1.x message.
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

// Incremental parser that reads one message after another from a byte stream.
class MessageReader {
public:
    enum class Kind : std::uint8_t { Requests,
        Responses };

    MessageReader(Kind, ReadLimits);
    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    // Discards the current message and prepares for the next one, to which the limits apply. expectsNoBody: the next
    // message is the response to a HEAD request.
    void restart(ReadLimits, bool expectsNoBody = false);

    // Parses bytes up to the end of the message, or up to an error, and returns how many were consumed; 0 unless the
    // state is Incomplete. Linear in the bytes.
    std::size_t parse(std::string_view bytes);

    // Signals the end of the stream, which completes a response without a length.
    void finishStream();

    ReadState state() const noexcept { return this->readState; }
    // Whether any byte of the current message has been parsed.
    bool hasStarted() const noexcept { return this->messageStarted; }
    bool hasCompleteHeaders() const noexcept { return this->headersCompleted; }
    // Memory that the current message's header and body take: a header field of few bytes takes many times as much, and a body that grows
    // up to twice as much.
    std::uint64_t heldBytes() const noexcept;
    // Content-Length of the current message; 0 until its headers are complete, or if they state none.
    std::uint64_t declaredBodyBytes() const noexcept { return this->declaredBytes; }
    // Memory that the body takes.
    std::uint64_t heldBodyBytes() const noexcept;
    // Allocates the current message's body as a whole, so that it isn't copied while it grows: by its length, or by the limit if it has none,
    // of which the system provides only what is used. Throws std::bad_alloc.
    void allocateWholeBody();
    HttpMessage& message() noexcept { return this->currentMessage; }

private:
    static int onUrl(http_parser*, const char* text, std::size_t size);
    static int onHeaderName(http_parser*, const char* text, std::size_t size);
    static int onHeaderValue(http_parser*, const char* text, std::size_t size);
    static int onHeadersComplete(http_parser*);
    static int onBody(http_parser*, const char* text, std::size_t size);
    static int onComplete(http_parser*);
    bool addHeaderBytes(std::size_t size);
    // Checks the lines of a response's header for what the parser is lenient about. Returns whether they are valid so far.
    bool checkResponseLines(std::string_view bytes);

    struct HeaderLines {
        // Up to the byte behind the status.
        std::string statusLine {};
        // Of the current line.
        std::size_t lineBytes { 0 };
        bool ended { false };
    };

    Kind kind;
    ReadLimits limits;
    http_parser parser {};
    HttpMessage currentMessage;
    ReadState readState { ReadState::Incomplete };
    std::uint64_t headerBytes { 0 };
    std::uint64_t declaredBytes { 0 };
    bool messageStarted { false };
    bool headersCompleted { false };
    bool expectsNoBody { false };
    bool lastCallbackWasValue { false };
    bool wholeBodyAllocated { false };
    HeaderLines headerLines;
};

}
