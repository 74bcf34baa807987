#pragma once

#include "flamingowick/model/Request.h"

#include <http_parser.h>

#include <string>
#include <string_view>
#include <vector>

// Parsing of HTTP/1.1 messages by the http_parser library.
namespace flamingowick::standins::detail {

struct HttpRequest {
    std::string method;
    std::string path;
    // What follows the question mark; empty when there is none.
    std::string query;
    std::vector<Header> headers;
    std::string body;
    // IP number of the client.
    std::string peer;
    bool keepAlive { true };
};

// Returns the first value of the named header, compared without regard to case; empty when absent.
std::string_view headerValue(const std::vector<Header>&, std::string_view name) noexcept;

// Returns the value of a query parameter, not decoded; empty when absent.
std::string_view queryValue(std::string_view query, std::string_view name) noexcept;

struct HttpResponse {
    unsigned status { 0 };
    std::vector<Header> headers;
    std::string body;
    bool keepAlive { true };
};

// Collects one message at a time from a connection's bytes.
class MessageParser {
public:
    // Reads requests with HTTP_REQUEST and responses with HTTP_RESPONSE.
    MessageParser(http_parser_type, std::size_t maxBodyBytes);
    MessageParser(const MessageParser&) = delete;
    MessageParser& operator=(const MessageParser&) = delete;

    // Takes bytes up to the end of the present message and returns how many. Afterwards complete()
    // tells whether a message is whole and failed() whether the bytes are no HTTP. No bytes at all
    // stand for the end of the connection.
    std::size_t feed(std::string_view bytes);

    bool complete() const noexcept { return this->whole; }
    bool failed() const noexcept { return this->broken; }

    // Hands out the whole message and starts on the next.
    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    static int onUrl(http_parser*, const char* at, std::size_t length);
    static int onField(http_parser*, const char* at, std::size_t length);
    static int onValue(http_parser*, const char* at, std::size_t length);
    static int onBody(http_parser*, const char* at, std::size_t length);
    static int onComplete(http_parser*);
    static const http_parser_settings& callbacks() noexcept;
    void startNext();

    http_parser parser {};
    std::string url;
    std::vector<Header> headers;
    std::string body;
    std::size_t maxBodyBytes;
    bool lastWasValue { false };
    bool keepAlive { true };
    bool whole { false };
    bool broken { false };
};

}
