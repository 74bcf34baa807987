#include "flamingowick/proxy/HttpClient.h"

#include "flamingowick/proxy/HttpMessage.h"

#include <asio/write.hpp>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t readBufferBytes = 16U << 10U;
    // Large enough for a page of the store's objects and for a relay's complete snapshot.
    constexpr ReadLimits responseLimits { 64U << 10U, 16U << 20U };

}

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    explicit HttpClientConnection(HttpClient& client)
        : owner(client)
        , socket(client.context)
        , timer(client.context)
        , reader(MessageReader::Kind::Responses, responseLimits)
        , inputBuffer(readBufferBytes, '\0')
    {
    }

    void start(const HttpCall& call, ResponseHandler responseHandler)
    {
        this->handler = std::move(responseHandler);
        this->reader.restart(responseLimits);
        this->receivedBytes = 0;
        this->output = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + this->owner.host + "\r\n";
        if (!call.body.empty())
            this->output.append("Content-Type: application/json\r\nContent-Length: ").append(std::to_string(call.body.size())).append("\r\n");
        this->output.append("\r\n").append(call.body);
        this->extension = call.extension;
        this->startTimer(Clock::now() + call.timeout);
        if (this->socket.is_open()) {
            this->send();
            return;
        }
        this->socket.async_connect(this->owner.endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
            if (self->closed)
                return;
            if (error) {
                self->finish({ 0, {}, "connect: " + error.message() }, false);
                return;
            }
            setSocketOptions(self->socket);
            self->send();
        });
    }

    void finish(HttpResponse response, bool reuse)
    {
        if (!this->handler)
            return;
        const std::shared_ptr<HttpClientConnection> self = this->shared_from_this();
        const ResponseHandler completion = std::move(this->handler);
        this->handler = nullptr;
        this->timer.cancel();
        this->owner.activeConnections.erase(self);
        if (response.status == 0)
            response.bytesBeforeFailure = this->receivedBytes;
        if (reuse)
            this->owner.idleConnections.push_back(self);
        else
            this->close();
        completion(std::move(response));
    }

    void close()
    {
        this->closed = true;
        this->handler = nullptr;
        asio::error_code ignored;
        this->socket.close(ignored);
        this->timer.cancel();
    }

private:
    void startTimer(TimePoint due)
    {
        this->timer.expires_at(due);
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error)
                self->finish({ 0, {}, "timeout" }, false);
        });
    }

    void send()
    {
        asio::async_write(this->socket, asio::buffer(this->output), [self = this->shared_from_this()](const asio::error_code&, std::size_t) {
            // A write error needs no handling: the pending read fails as well.
        });
        this->read();
    }

    void read()
    {
        if (this->reading || this->closed)
            return;
        this->reading = true;
        this->socket.async_read_some(asio::buffer(this->inputBuffer), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            self->reading = false;
            if (!self->closed)
                self->handleRead(error, size);
        });
    }

    void handleRead(const asio::error_code& error, std::size_t size)
    {
        if (!this->handler) {
            // The server closed an idle connection.
            const std::shared_ptr<HttpClientConnection> self = this->shared_from_this();
            this->close();
            std::erase(this->owner.idleConnections, self);
            return;
        }
        if (error) {
            this->finish({ 0, {}, "connection: " + error.message() }, false);
            return;
        }
        this->receivedBytes += size;
        const std::size_t consumed = this->reader.parse(std::string_view(this->inputBuffer).substr(0, size));
        if (this->reader.state() == ReadState::Incomplete) {
            if (const TimePoint extended = Clock::now() + this->extension; extended > this->timer.expiry())
                this->startTimer(extended);
            this->read();
            return;
        }
        if (this->reader.state() != ReadState::Complete) {
            this->finish({ 0, {}, "response malformed or too large" }, false);
            return;
        }
        HttpMessage& message = this->reader.message();
        const bool reuse = message.keepAlive && consumed == size;
        HttpResponse response { message.status, std::move(message.body), {}, std::move(message.headers) };
        if (reuse)
            this->read();
        this->finish(std::move(response), reuse);
    }

    HttpClient& owner;
    asio::ip::tcp::socket socket;
    Timer timer;
    MessageReader reader;
    std::string inputBuffer;
    std::string output;
    ResponseHandler handler;
    std::size_t receivedBytes { 0 };
    Duration extension { 0 };
    bool reading { false };
    bool closed { false };
};

HttpClient::HttpClient(asio::io_context& ioContext, std::string_view address)
    : context(ioContext)
    , endpoint(parseTcpEndpoint(address))
    , host(address)
{
}

HttpClient::~HttpClient()
{
    for (const auto& connection : this->idleConnections)
        connection->close();
    for (const auto& connection : this->activeConnections)
        connection->close();
}

void HttpClient::call(const HttpCall& call, ResponseHandler handler)
{
    std::shared_ptr<HttpClientConnection> connection;
    if (this->idleConnections.empty()) {
        connection = std::make_shared<HttpClientConnection>(*this);
    } else {
        connection = this->idleConnections.back();
        this->idleConnections.pop_back();
    }
    this->activeConnections.insert(connection);
    connection->start(call, std::move(handler));
}

void HttpClient::cancelAll(std::string_view reason)
{
    for (const auto& connection : this->idleConnections)
        connection->close();
    this->idleConnections.clear();
    const std::vector<std::shared_ptr<HttpClientConnection>> snapshot(this->activeConnections.begin(), this->activeConnections.end());
    for (const auto& connection : snapshot)
        connection->finish({ 0, {}, std::string(reason) }, false);
}

}
