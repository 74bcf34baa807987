#include "flamingowick/standins/detail/HttpServer.h"

#include <algorithm>
#include <cstdio>

namespace flamingowick::standins::detail {

namespace {

    constexpr std::string_view crlf = "\r\n";

    std::string_view reasonPhrase(unsigned status) noexcept
    {
        return http_status_str(static_cast<http_status>(status));
    }

    void appendHeader(std::string& text, std::string_view name, std::string_view value)
    {
        text.append(name).append(": ").append(value).append(crlf);
    }

    std::string startOfAnswer(unsigned status, std::string_view contentType)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reasonPhrase(status)).append(crlf);
        appendHeader(text, "Content-Type", contentType);
        return text;
    }

}

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, HttpServer& server)
    : socket(std::move(socket))
    , server(server)
    , parser(HTTP_REQUEST, server.connectionLimits().maxBodyBytes)
{
    asio::error_code error;
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
    this->peer = this->socket.remote_endpoint(error).address().to_string();
}

void HttpConnection::start() { this->read(); }

void HttpConnection::answer(const HttpAnswer& answer)
{
    if (this->closed || !this->busy)
        return;
    std::string text = startOfAnswer(answer.status, answer.contentType);
    appendHeader(text, "Content-Length", std::to_string(answer.body.size()));
    if (!this->keepAlive)
        appendHeader(text, "Connection", "close");
    for (const Header& header : answer.headers)
        appendHeader(text, header.name, header.value);
    text.append(crlf).append(answer.body);
    this->closeAfterFlush = !this->keepAlive;
    this->send(text);
    this->finishRequest();
}

void HttpConnection::beginStream()
{
    if (this->closed)
        return;
    std::string text = startOfAnswer(200, "application/json");
    appendHeader(text, "Transfer-Encoding", "chunked");
    this->send(text.append(crlf));
}

void HttpConnection::sendChunk(std::string_view data)
{
    if (this->closed || data.empty())
        return;
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data());
    this->send(chunk.append(data).append(crlf));
}

void HttpConnection::endStream()
{
    if (this->closed)
        return;
    this->closeAfterFlush = !this->keepAlive;
    this->send("0\r\n\r\n");
    this->finishRequest();
}

void HttpConnection::drop()
{
    if (this->closed)
        return;
    const auto keptAlive = this->shared_from_this();
    this->closed = true;
    asio::error_code error;
    this->socket.close(error);
    this->server.forget(*this);
    const auto cancel = std::exchange(this->cancelHandler, nullptr);
    if (cancel && this->busy)
        cancel();
}

void HttpConnection::abandon() noexcept
{
    this->closed = true;
    this->cancelHandler = nullptr;
    asio::error_code error;
    this->socket.close(error);
}

void HttpConnection::resumeReading()
{
    this->paused = false;
    this->parse();
}

void HttpConnection::read()
{
    if (this->closed || this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(asio::buffer(this->input),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t count) {
            self->reading = false;
            if (error) {
                self->drop();
                return;
            }
            self->unparsed.append(self->input.data(), count);
            self->parse();
        });
}

void HttpConnection::parse()
{
    if (this->closed || this->busy || this->paused)
        return;
    if (this->unparsed.empty()) {
        this->read();
        return;
    }
    const std::size_t taken = this->parser.feed(this->unparsed);
    this->unparsed.erase(0, taken);
    if (this->parser.complete())
        this->dispatch();
    else if (this->parser.failed())
        this->drop();
    else
        this->read();
}

void HttpConnection::dispatch()
{
    HttpRequest request = this->parser.takeRequest();
    request.peer = this->peer;
    this->keepAlive = request.keepAlive;
    this->busy = true;
    this->watchForClose();
    this->server.requestHandler()(this->shared_from_this(), std::move(request));
}

void HttpConnection::watchForClose()
{
    if (this->watching)
        return;
    this->watching = true;
    this->socket.async_wait(asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this()](const asio::error_code& error) {
            self->watching = false;
            if (self->closed || !self->busy)
                return;
            asio::error_code failure;
            if (error || self->socket.available(failure) == 0)
                self->drop();
        });
}

void HttpConnection::send(std::string_view data)
{
    if (this->outgoing.size() + data.size() > this->server.connectionLimits().maxPendingOutputBytes) {
        this->drop();
        return;
    }
    this->outgoing.append(data);
    this->flush();
}

void HttpConnection::flush()
{
    if (this->closed || !this->inFlight.empty())
        return;
    if (this->outgoing.empty()) {
        if (this->closeAfterFlush)
            this->drop();
        return;
    }
    this->inFlight.swap(this->outgoing);
    asio::async_write(this->socket, asio::buffer(this->inFlight),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            self->inFlight.clear();
            if (error)
                self->drop();
            else
                self->flush();
        });
}

void HttpConnection::finishRequest()
{
    this->busy = false;
    this->cancelHandler = nullptr;
    if (this->closeAfterFlush)
        return;
    // Posted, so that a long pipeline of requests doesn't deepen the stack.
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->parse(); });
}

HttpServer::HttpServer(asio::io_context& context, const std::string& address, std::uint16_t port, HttpHandler handler, HttpServerLimits limits)
    : acceptor(context)
    , endpoint(asio::ip::make_address(address), port)
    , handler(std::move(handler))
    , limits(limits)
{
    this->reopen();
}

HttpServer::~HttpServer()
{
    for (const auto& entry : this->connections)
        entry.second->abandon();
}

void HttpServer::close()
{
    asio::error_code error;
    this->acceptor.close(error);
}

void HttpServer::reopen()
{
    if (this->acceptor.is_open())
        return;
    this->acceptor.open(this->endpoint.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen();
    this->endpoint = this->acceptor.local_endpoint();
    this->boundPort = this->endpoint.port();
    this->accept();
}

void HttpServer::dropAll()
{
    const auto dropped = this->connections;
    for (const auto& entry : dropped)
        entry.second->drop();
}

void HttpServer::setFrozen(bool value)
{
    if (this->frozen == value)
        return;
    this->frozen = value;
    const auto affected = this->connections;
    for (const auto& entry : affected) {
        if (value)
            entry.second->pauseReading();
        else
            entry.second->resumeReading();
    }
}

void HttpServer::forget(const HttpConnection& connection) noexcept { this->connections.erase(&connection); }

void HttpServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open())
            return;
        if (!error && this->connections.size() < this->limits.maxConnections) {
            const auto connection = std::make_shared<HttpConnection>(std::move(socket), *this);
            this->connections.emplace(connection.get(), connection);
            this->peakConnections = std::max(this->peakConnections, this->connections.size());
            if (this->frozen)
                connection->pauseReading();
            connection->start();
        }
        this->accept();
    });
}

}
