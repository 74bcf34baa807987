#include "flamingowick/proxy/HttpMessage.h"

#include "flamingowick/model/HttpHead.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace flamingowick::proxy {

namespace {

    constexpr std::array<std::string_view, 8> hopByHopNames { "connection", "keep-alive", "proxy-connection",
        "proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade" };

    MessageReader& readerOf(http_parser* parser) { return *static_cast<MessageReader*>(parser->data); }

    std::string_view trim(std::string_view text) noexcept
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    bool listContainsToken(std::string_view list, std::string_view token) noexcept
    {
        while (!list.empty()) {
            const std::size_t comma = list.find(',');
            if (headerNamesEqual(trim(list.substr(0, comma)), token))
                return true;
            if (comma == std::string_view::npos)
                return false;
            list.remove_prefix(comma + 1);
        }
        return false;
    }

}

bool headerNamesEqual(std::string_view first, std::string_view second) noexcept
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view headerValue(const HttpMessage& message, std::string_view name) noexcept
{
    for (const Header& header : message.headers) {
        if (headerNamesEqual(header.name, name))
            return header.value;
    }
    return {};
}

bool isHopByHopHeader(const HttpMessage& message, std::string_view name) noexcept
{
    if (std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [name](std::string_view hop) { return headerNamesEqual(hop, name); }))
        return true;
    return std::any_of(message.headers.begin(), message.headers.end(), [name](const Header& header) {
        return headerNamesEqual(header.name, "connection") && listContainsToken(header.value, name);
    });
}

std::string_view reasonPhrase(unsigned status) noexcept
{
    return http_status_str(static_cast<http_status>(status));
}

MessageReader::MessageReader(Kind messageKind, ReadLimits readLimits)
    : kind(messageKind)
    , limits(readLimits)
{
    this->restart(readLimits);
}

void MessageReader::restart(ReadLimits readLimits, bool withoutBody)
{
    this->limits = readLimits;
    this->expectsNoBody = withoutBody;
    http_parser_init(&this->parser, this->kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    // An assignment of an empty string would keep the memory of the body.
    std::string().swap(this->currentMessage.body);
    this->currentMessage = HttpMessage {};
    this->readState = ReadState::Incomplete;
    this->headerBytes = 0;
    this->declaredBytes = 0;
    this->wholeBodyAllocated = false;
    this->headerLines = {};
    this->messageStarted = false;
    this->headersCompleted = false;
    this->lastCallbackWasValue = false;
}

std::size_t MessageReader::parse(std::string_view bytes)
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings settings {};
        http_parser_settings_init(&settings);
        settings.on_url = &MessageReader::onUrl;
        settings.on_header_field = &MessageReader::onHeaderName;
        settings.on_header_value = &MessageReader::onHeaderValue;
        settings.on_headers_complete = &MessageReader::onHeadersComplete;
        settings.on_body = &MessageReader::onBody;
        settings.on_message_complete = &MessageReader::onComplete;
        return settings;
    }();
    if (this->readState != ReadState::Incomplete || bytes.empty())
        return 0;
    this->messageStarted = true;
    if (this->kind == Kind::Responses && !this->checkResponseLines(bytes)) {
        this->readState = ReadState::Malformed;
        return 0;
    }
    const std::size_t consumed = http_parser_execute(&this->parser, &callbacks, bytes.data(), bytes.size());
    if (this->readState == ReadState::Incomplete && HTTP_PARSER_ERRNO(&this->parser) != HPE_OK)
        this->readState = HTTP_PARSER_ERRNO(&this->parser) == HPE_HEADER_OVERFLOW ? ReadState::HeaderTooLarge : ReadState::Malformed;
    return consumed;
}

bool MessageReader::checkResponseLines(std::string_view bytes)
{
    for (const char character : bytes) {
        if (this->headerLines.ended)
            return true;
        const bool isLineBreak = character == '\r' || character == '\n';
        std::string& statusLine = this->headerLines.statusLine;
        if (statusLine.size() <= statusLineBytes && !(statusLine.empty() && isLineBreak)) {
            statusLine.push_back(character);
            const bool isWhole = statusLine.size() > statusLineBytes;
            if ((isWhole || isLineBreak) && !isStatusLine(statusLine))
                return false;
        }
        if (character == '\n') {
            this->headerLines.ended = this->headerLines.lineBytes == 0 && !statusLine.empty();
            this->headerLines.lineBytes = 0;
        } else if (!isLineBreak) {
            // A line that continues the one before it is obsolete, and can be taken for a field whose name begins with a blank.
            const bool isContinuation = this->headerLines.lineBytes == 0 && !statusLine.empty() && (character == ' ' || character == '\t');
            if (isContinuation)
                return false;
            ++this->headerLines.lineBytes;
        }
    }
    return true;
}

void MessageReader::finishStream()
{
    if (this->readState == ReadState::Incomplete && this->headersCompleted && this->currentMessage.bodyEndsAtClose)
        this->readState = ReadState::Complete;
}

std::uint64_t MessageReader::heldBytes() const noexcept
{
    return this->headerBytes + this->currentMessage.headers.capacity() * sizeof(Header) + this->heldBodyBytes();
}

std::uint64_t MessageReader::heldBodyBytes() const noexcept
{
    const std::string& body = this->currentMessage.body;
    if (body.empty())
        return 0;
    return this->wholeBodyAllocated ? body.size() : body.capacity();
}

void MessageReader::allocateWholeBody()
{
    this->currentMessage.body.reserve(this->declaredBytes > 0 ? this->declaredBytes : this->limits.maxBodyBytes);
    this->wholeBodyAllocated = true;
}

bool MessageReader::addHeaderBytes(std::size_t size)
{
    this->headerBytes += size;
    if (this->headerBytes <= this->limits.maxHeaderBytes)
        return true;
    this->readState = ReadState::HeaderTooLarge;
    return false;
}

int MessageReader::onUrl(http_parser* parser, const char* text, std::size_t size)
{
    MessageReader& reader = readerOf(parser);
    if (!reader.addHeaderBytes(size))
        return 1;
    reader.currentMessage.target.append(text, size);
    return 0;
}

int MessageReader::onHeaderName(http_parser* parser, const char* text, std::size_t size)
{
    MessageReader& reader = readerOf(parser);
    // Trailer fields of chunked bodies are dropped.
    if (reader.headersCompleted)
        return 0;
    if (!reader.addHeaderBytes(size))
        return 1;
    if (reader.currentMessage.headers.empty() || reader.lastCallbackWasValue) {
        if (reader.currentMessage.headers.size() >= reader.limits.maxHeaderFields) {
            reader.readState = ReadState::HeaderTooLarge;
            return 1;
        }
        reader.currentMessage.headers.emplace_back();
    }
    reader.lastCallbackWasValue = false;
    reader.currentMessage.headers.back().name.append(text, size);
    return 0;
}

int MessageReader::onHeaderValue(http_parser* parser, const char* text, std::size_t size)
{
    MessageReader& reader = readerOf(parser);
    if (reader.headersCompleted)
        return 0;
    if (!reader.addHeaderBytes(size))
        return 1;
    reader.lastCallbackWasValue = true;
    reader.currentMessage.headers.back().value.append(text, size);
    return 0;
}

int MessageReader::onHeadersComplete(http_parser* parser)
{
    MessageReader& reader = readerOf(parser);
    HttpMessage& message = reader.currentMessage;
    reader.headersCompleted = true;
    // Protocol upgrades are not supported: the Upgrade header is ignored.
    parser->upgrade = 0;
    // The parser accepts header names and values that other HTTP implementations may interpret differently, which would
    // allow request smuggling.
    for (const Header& header : message.headers) {
        if (!isHeaderName(header.name) || !isHeaderValue(header.value))
            return -1;
    }
    if (reader.kind == Kind::Requests) {
        message.method = http_method_str(static_cast<http_method>(parser->method));
        if (parser->method == HTTP_CONNECT)
            return -1;
    } else {
        message.status = parser->status_code;
        const bool framed = (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
        message.bodyEndsAtClose = !reader.expectsNoBody && !framed && message.status >= 200 && message.status != 204 && message.status != 304;
    }
    message.keepAlive = http_should_keep_alive(parser) != 0;
    if ((parser->flags & F_CONTENTLENGTH) != 0 && !reader.expectsNoBody && parser->content_length > reader.limits.maxBodyBytes) {
        reader.readState = ReadState::BodyTooLarge;
        return -1;
    }
    if ((parser->flags & F_CONTENTLENGTH) != 0)
        reader.declaredBytes = parser->content_length;
    return reader.expectsNoBody ? 1 : 0;
}

int MessageReader::onBody(http_parser* parser, const char* text, std::size_t size)
{
    MessageReader& reader = readerOf(parser);
    if (reader.currentMessage.body.size() + size > reader.limits.maxBodyBytes) {
        reader.readState = ReadState::BodyTooLarge;
        return 1;
    }
    reader.currentMessage.body.append(text, size);
    return 0;
}

int MessageReader::onComplete(http_parser* parser)
{
    MessageReader& reader = readerOf(parser);
    reader.readState = ReadState::Complete;
    http_parser_pause(parser, 1);
    return 0;
}

}
