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

RequestParser::RequestParser(std::size_t maxBodyBytes)
    : maxBodyBytes(maxBodyBytes)
{
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
}

std::size_t RequestParser::feed(std::string_view bytes)
{
    const std::size_t taken = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    if (this->whole)
        return taken;
    this->broken = HTTP_PARSER_ERRNO(&this->parser) != HPE_OK || this->parser.upgrade != 0;
    return taken;
}

HttpRequest RequestParser::take()
{
    HttpRequest taken = std::move(this->request);
    taken.method = http_method_str(static_cast<http_method>(this->parser.method));
    const std::size_t question = this->url.find('?');
    taken.path = this->url.substr(0, question);
    if (question != std::string::npos)
        taken.query = this->url.substr(question + 1);
    http_parser_pause(&this->parser, 0);
    this->request = {};
    this->url.clear();
    this->lastWasValue = false;
    this->whole = false;
    return taken;
}

int RequestParser::onUrl(http_parser* parser, const char* at, std::size_t length)
{
    static_cast<RequestParser*>(parser->data)->url.append(at, length);
    return 0;
}

int RequestParser::onField(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<RequestParser*>(parser->data);
    if (self.request.headers.empty() || self.lastWasValue)
        self.request.headers.emplace_back();
    self.lastWasValue = false;
    self.request.headers.back().name.append(at, length);
    return 0;
}

int RequestParser::onValue(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<RequestParser*>(parser->data);
    self.lastWasValue = true;
    self.request.headers.back().value.append(at, length);
    return 0;
}

int RequestParser::onBody(http_parser* parser, const char* at, std::size_t length)
{
    auto& self = *static_cast<RequestParser*>(parser->data);
    if (self.request.body.size() + length > self.maxBodyBytes)
        return 1;
    self.request.body.append(at, length);
    return 0;
}

int RequestParser::onComplete(http_parser* parser)
{
    auto& self = *static_cast<RequestParser*>(parser->data);
    self.whole = true;
    self.request.keepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& RequestParser::callbacks() noexcept
{
    static const http_parser_settings settings = [] {
        http_parser_settings made {};
        made.on_url = &RequestParser::onUrl;
        made.on_header_field = &RequestParser::onField;
        made.on_header_value = &RequestParser::onValue;
        made.on_body = &RequestParser::onBody;
        made.on_message_complete = &RequestParser::onComplete;
        return made;
    }();
    return settings;
}

}
