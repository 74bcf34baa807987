#pragma once

#include <string_view>

// Rules of HTTP/1.1 for the lines of a message's header that parsers are lenient about. A line that is understood differently by two readers
// lets a body or a response appear that its sender didn't mean. No I/O; linear in the text.
namespace flamingowick {

// Whether the text can be the name of a header field: a token of RFC 9110, without blanks and control bytes.
bool isHeaderName(std::string_view) noexcept;

// Whether the text can be the value of a header field: without control bytes other than tabs.
bool isHeaderValue(std::string_view) noexcept;

// Bytes of a status line up to the end of its status: "HTTP/1.1 200".
inline constexpr std::size_t statusLineBytes = 12;

// Whether a line, of which at least one byte more than statusLineBytes is given, begins as a status line with a status of 100 to 599.
bool isStatusLine(std::string_view) noexcept;

// What the lines of a response's header say so far.
struct ResponseHead {
    bool malformed { false };
    // The empty line that ends the header was read. False again after the status line that follows an interim response.
    bool complete { false };
    // The header says where the body ends: by its length or in chunks.
    bool framed { false };
};

// Reads one line with its line break.
void readHeaderLine(ResponseHead&, std::string_view line) noexcept;

}
