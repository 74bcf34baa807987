#include "flamingowick/standins/detail/HttpParser.h"

#include <algorithm>
#include <cctype>

namespace flamingowick::standins::detail {

namespace {

    bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    }

}

std::string_view headerValue(const std::vector<Header>& headers, std::string_view name) noexcept
{
    for (const Header& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view queryValue(std::string_view query, std::string_view name) noexcept
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
    }
    return {};
}

MessageParser::MessageParser(http_parser_type type, std::size_t maxBodyBytes)
    : maxBodyBytes(maxBodyBytes)
{
    http_parser_init(&this->parser, type);
    this->parser.data = this;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    const std::size_t taken = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    if (this->whole)
        return taken;
    this->broken = HTTP_PARSER_ERRNO(&this->parser) != HPE_OK || this->parser.upgrade != 0;
    return taken;
}

HttpRequest MessageParser::takeRequest()
{
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(this->parser.method));
    const std::size_t question = this->url.find('?');
    request.path = this->url.substr(0, question);
    if (question != std::string::npos)
        request.query = this->url.substr(question + 1);
    request.headers = std::move(this->headers);
    request.body = std::move(this->body);
    request.keepAlive = this->keepAlive;
    this->startNext();
    return request;
}

HttpResponse MessageParser::takeResponse()
{
    HttpResponse response;
    response.status = this->parser.status_code;
    response.headers = std::move(this->headers);
    response.body = std::move(this->body);
    response.keepAlive = this->keepAlive;
    this->startNext();
    return response;
}

void MessageParser::startNext()
{
    http_parser_pause(&this->parser, 0);
    this->url.clear();
    this->headers.clear();
    this->body.clear();
    this->lastWasValue = false;
    this->whole = false;
}

int MessageParser::onUrl(http_parser* parser, const char* at, std::size_t length)
{
    static_cast<MessageParser*>(parser->data)->url.append(at, length);
    return 0;
}

int MessageParser::onField(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<MessageParser*>(parser->data);
    if (self.headers.empty() || self.lastWasValue)
        self.headers.emplace_back();
    self.lastWasValue = false;
    self.headers.back().name.append(at, length);
    return 0;
}

int MessageParser::onValue(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<MessageParser*>(parser->data);
    self.lastWasValue = true;
    self.headers.back().value.append(at, length);
    return 0;
}

int MessageParser::onBody(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<MessageParser*>(parser->data);
    if (self.body.size() + length > self.maxBodyBytes)
        return 1;
    self.body.append(at, length);
    return 0;
}

int MessageParser::onComplete(http_parser* parser)
{
    auto& self = *static_cast<MessageParser*>(parser->data);
    self.whole = true;
    self.keepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& MessageParser::callbacks() noexcept
{
    static const http_parser_settings settings = [] {
        http_parser_settings made {};
        made.on_url = &MessageParser::onUrl;
        made.on_header_field = &MessageParser::onField;
        made.on_header_value = &MessageParser::onValue;
        made.on_body = &MessageParser::onBody;
        made.on_message_complete = &MessageParser::onComplete;
        return made;
    }();
    return settings;
}

}
