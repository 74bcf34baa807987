#include "LoadClient.h"

namespace flamingowick::standins {

namespace {

    constexpr std::size_t maxAnswerBytes = 16U << 20U;

}

LoadConnection::LoadConnection(asio::io_context& context, asio::ip::tcp::endpoint endpoint, Duration timeout, EndHandler handler)
    : socket(context)
    , endpoint(std::move(endpoint))
    , timer(context)
    , timeout(timeout)
    , handler(std::move(handler))
    , parser(HTTP_RESPONSE, maxAnswerBytes)
{
}

void LoadConnection::send(LoadRequest next)
{
    this->request = std::move(next);
    ++this->requests;
    this->timer.expires_after(this->timeout);
    this->timer.async_wait([self = this->shared_from_this(), number = this->request->number](const asio::error_code& error) {
        if (!error && self->request && self->request->number == number)
            self->fail(self->connected ? LoadEnd::TimedOut : LoadEnd::ConnectFailed);
    });
    if (this->connected)
        this->write();
    else
        this->connect();
}

void LoadConnection::close()
{
    this->closed = true;
    asio::error_code error;
    this->socket.close(error);
    this->timer.cancel();
}

void LoadConnection::connect()
{
    this->socket.async_connect(this->endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
        if (self->closed)
            return;
        if (error) {
            self->fail(LoadEnd::ConnectFailed);
            return;
        }
        self->connected = true;
        asio::error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void LoadConnection::write()
{
    asio::async_write(this->socket, asio::buffer(this->request->text),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            if (error)
                self->fail(LoadEnd::CutOff);
        });
    this->read();
}

void LoadConnection::read()
{
    if (this->closed || this->reading)
        return;
    this->reading = true;
    this->socket.async_read_some(asio::buffer(this->input),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t count) {
            self->reading = false;
            if (self->closed)
                return;
            // No bytes stand for the end, which may complete an answer that has no length.
            self->take({ self->input.data(), error ? 0 : count });
            if (error)
                self->fail(LoadEnd::CutOff);
            else
                self->read();
        });
}

void LoadConnection::take(std::string_view bytes)
{
    do {
        bytes.remove_prefix(this->parser.feed(bytes));
        if (this->parser.failed()) {
            this->fail(LoadEnd::CutOff);
            return;
        }
        if (!this->parser.complete())
            return;
        const detail::HttpResponse response = this->parser.takeResponse();
        const bool interim = response.status < 200;
        if (!interim && !response.keepAlive)
            this->close();
        if (!interim)
            this->end(LoadEnd::Answered, response);
    } while (!bytes.empty() && !this->closed);
}

void LoadConnection::end(LoadEnd how, const detail::HttpResponse& response)
{
    this->timer.cancel();
    if (!this->request) {
        // An answer that nobody asked for.
        this->close();
        return;
    }
    const LoadRequest ended = std::move(*this->request);
    this->request.reset();
    this->handler(this->shared_from_this(), ended, how, response);
}

void LoadConnection::fail(LoadEnd how)
{
    if (this->closed && !this->request)
        return;
    this->close();
    this->end(how, {});
}

}
