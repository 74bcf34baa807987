#include "flamingowick/gateway/HttpServer.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/model/HttpHead.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>

namespace flamingowick::gateway {

namespace {

    struct ConnectionWatcher {
        std::function<void(restinio::connection_id_t)> onClosed;

        // NOLINTNEXTLINE(readability-identifier-naming): the name is RESTinio's.
        void state_changed(const restinio::connection_state::notice_t& notice) const
        {
            if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
                this->onClosed(notice.connection_id());
        }
    };

    // What an incomplete request takes beside its bytes for each line: a header field, or the record of a chunk, whose list grows by doubling.
    constexpr std::uint64_t bytesPerLine = 128;

    class CountingSocket;

    // Memory of requests that aren't complete, over all connections of a server.
    class IncompleteRequests : public asio::execution_context::service {
    public:
        using key_type = IncompleteRequests; // NOLINT(readability-identifier-naming): the name is Asio's.
        inline static asio::execution_context::id id;

        explicit IncompleteRequests(asio::execution_context& context)
            : service(context)
        {
        }

        std::uint64_t limit { 0 };
        std::uint64_t total { 0 };
        // The connection whose bytes are being parsed; null for none.
        CountingSocket* current { nullptr };

    private:
        void shutdown() override { }
    };

    // A caller's connection, which ends itself when it has received a part of a request and there is no memory for more of them.
    class CountingSocket : public asio::ip::tcp::socket {
    public:
        explicit CountingSocket(asio::io_context& context)
            : asio::ip::tcp::socket(context)
            , requests(&asio::use_service<IncompleteRequests>(context))
        {
        }

        CountingSocket(CountingSocket&& other) noexcept
            : asio::ip::tcp::socket(std::move(other))
            , requests(other.requests)
            , received(std::exchange(other.received, 0))
        {
        }

        CountingSocket(const CountingSocket&) = delete;
        CountingSocket& operator=(const CountingSocket&) = delete;
        CountingSocket& operator=(CountingSocket&&) = delete;
        ~CountingSocket() { this->forgetReceived(); }

        // The request that was received is complete, or there will be none.
        void forgetReceived() noexcept { this->requests->total -= std::exchange(this->received, 0); }

        // NOLINTNEXTLINE(readability-identifier-naming): the name is Asio's.
        template <typename Handler>
        void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler)
        {
            asio::ip::tcp::socket::async_read_some(asio::buffer(buffer), [this, buffer, parse = std::forward<Handler>(handler)](const asio::error_code& error, std::size_t size) mutable {
                const std::string_view bytes(static_cast<const char*>(buffer.data()), size);
                const std::uint64_t memory = size + bytesPerLine * static_cast<std::uint64_t>(std::count(bytes.begin(), bytes.end(), '\n'));
                this->received += memory;
                this->requests->total += memory;
                this->requests->current = this;
                parse(error, size);
                this->requests->current = nullptr;
                asio::error_code ignored;
                if (this->received > 0 && this->requests->total > this->requests->limit)
                    this->asio::ip::tcp::socket::shutdown(shutdown_both, ignored);
            });
        }

    private:
        IncompleteRequests* requests;
        std::uint64_t received { 0 };
    };

    // NOLINTBEGIN(readability-identifier-naming): the names are RESTinio's.
    struct ServerTraits : public restinio::default_single_thread_traits_t {
        using stream_socket_t = CountingSocket;
        using connection_state_listener_t = ConnectionWatcher;
        using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
        static constexpr bool use_connection_count_limiter = true;
    };
    // NOLINTEND(readability-identifier-naming)

    using Server = restinio::http_server_t<ServerTraits>;

    // The server reads ahead so that a closed connection is noticed while a request is worked on.
    constexpr std::size_t pipelinedRequests = 2;
    constexpr std::size_t readBufferBytes = 4U << 10U;
    // What the kernel receives ahead on a connection.
    constexpr int maxUnreadBytes = 16 << 10;

    struct Endpoint {
        std::string ip;
        std::uint16_t port { 0 };
    };

    Endpoint parseEndpoint(const std::string& address)
    {
        auto colon = address.rfind(':');
        if (colon == std::string::npos)
            throw GatewayError(401, "Address has no port: " + address);
        try {
            return { address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
        } catch (const std::logic_error&) {
            throw GatewayError(401, "Address has no valid port: " + address);
        }
    }

    std::chrono::steady_clock::duration toSteady(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration);
    }

    // The parser lets spaces through in names, which RFC 9110 section 5.1 doesn't.
    bool hasMalformedName(const restinio::http_request_header_t& header)
    {
        bool malformed = false;
        header.for_each_field([&](const auto& field) {
            malformed = malformed || !isHeaderName(field.name());
        });
        return malformed;
    }

    HttpRequest convertRequest(ExchangeToken token, const restinio::request_t& request)
    {
        HttpRequest converted;
        converted.token = token;
        converted.method = request.header().method().c_str();
        converted.target = request.header().request_target();
        request.header().for_each_field([&](const auto& field) {
            converted.headers.push_back({ field.name(), field.value() });
        });
        converted.body = request.body();
        converted.remoteAddress = request.remote_endpoint().address().to_string();
        return converted;
    }

    // onWritten is called once the response is written or can no longer be.
    void writeResponse(const restinio::request_handle_t& request, HttpResponse response, bool close, std::function<void()> onWritten = {})
    {
        auto code = static_cast<std::uint16_t>(response.status);
        restinio::http_status_line_t status(restinio::http_status_code_t(code), http_status_str(static_cast<http_status>(code)));
        auto builder = request->create_response(std::move(status));
        for (Header& header : response.headers)
            builder.append_header(std::move(header.name), std::move(header.value));
        if (close || response.closeConnection)
            builder.connection_close();
        else
            builder.connection_keep_alive();
        builder.set_body(std::move(response.body));
        builder.done([onWritten = std::move(onWritten)](const auto&) {
            if (onWritten)
                onWritten();
        });
    }

}

struct HttpServer::Impl {
    struct Exchange {
        restinio::request_handle_t request;
        restinio::connection_id_t connection { 0 };
        std::uint64_t bodyBytes { 0 };
    };

    HttpServerSettings settings;
    HttpServerHandlers handlers;
    asio::io_context ioContext;
    std::unique_ptr<Server> server;
    // Used on the server's thread alone.
    std::unordered_map<ExchangeToken, Exchange> exchanges;
    std::unordered_multimap<restinio::connection_id_t, ExchangeToken> byConnection;
    ExchangeToken nextToken { 1 };
    // Of the exchanges.
    std::uint64_t bodyBytes { 0 };
    bool accepting { true };
    std::atomic<std::size_t> outstandingCount { 0 };
    std::uint16_t boundPort { 0 };
    std::thread thread;

    Impl(const HttpServerSettings& serverSettings, HttpServerHandlers serverHandlers)
        : settings(serverSettings)
        , handlers(std::move(serverHandlers))
    {
        this->open();
        this->thread = std::thread([this] { this->ioContext.run(); });
    }

    ~Impl()
    {
        this->ioContext.stop();
        this->thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void open()
    {
        Endpoint endpoint = parseEndpoint(this->settings.address);
        asio::use_service<IncompleteRequests>(this->ioContext).limit = this->settings.maxIncompleteBytes;
        try {
            this->server = std::make_unique<Server>(restinio::external_io_context(this->ioContext),
                [&](auto& options) { this->configure(options, endpoint); });
            this->server->open_sync();
        } catch (const std::exception& error) {
            throw GatewayError(401, "Can't listen on " + this->settings.address + ": " + error.what());
        }
    }

    template <typename Options>
    void configure(Options& options, const Endpoint& endpoint)
    {
        auto watcher = std::make_shared<ConnectionWatcher>();
        watcher->onClosed = [this](restinio::connection_id_t connection) { this->connectionClosed(connection); };
        restinio::incoming_http_msg_limits_t limits;
        limits.max_url_size(this->settings.maxUrlBytes);
        limits.max_field_name_size(this->settings.maxHeaderFieldBytes);
        limits.max_field_value_size(this->settings.maxHeaderFieldBytes);
        limits.max_field_count(this->settings.maxHeaderFields);
        limits.max_body_size(this->settings.maxBodyBytes * 2);
        options.address(endpoint.ip)
            .port(endpoint.port)
            .buffer_size(readBufferBytes)
            .max_pipelined_requests(pipelinedRequests)
            .concurrent_accepts_count(1)
            .max_parallel_connections(this->settings.maxConnections)
            .read_next_http_message_timelimit(toSteady(this->settings.readTimeout))
            .write_http_response_timelimit(toSteady(this->settings.writeTimeout))
            .handle_request_timeout(toSteady(this->settings.handleTimeout))
            .incoming_http_msg_limits(limits)
            .connection_state_listener(std::move(watcher))
            .acceptor_options_setter([](auto& acceptorOptions) {
                acceptorOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                // Each connection gets it, also one that waits to be accepted.
                acceptorOptions.set_option(asio::socket_base::receive_buffer_size(maxUnreadBytes));
            })
            .socket_options_setter([](auto& socketOptions) {
                socketOptions.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
                this->boundPort = acceptor.local_endpoint().port();
            })
            .request_handler([this](restinio::request_handle_t request) {
                return this->handle(std::move(request));
            });
    }

    restinio::request_handling_status_t handle(restinio::request_handle_t request)
    {
        if (CountingSocket* socket = asio::use_service<IncompleteRequests>(this->ioContext).current)
            socket->forgetReceived();
        if (hasMalformedName(request->header())) {
            writeResponse(request, { 400, {}, "malformed header name\n", true, {}, {} }, true);
            return restinio::request_accepted();
        }
        if (request->body().size() > this->settings.maxBodyBytes) {
            writeResponse(request, { 413, {}, "request body too large\n", true, {}, {} }, true);
            return restinio::request_accepted();
        }
        const std::uint64_t requestBodyBytes = request->body().size();
        if (this->bodyBytes + requestBodyBytes > this->settings.maxOutstandingBodyBytes && requestBodyBytes > 0) {
            writeResponse(request, { 503, { { "Retry-After", "1" } }, "no memory\n", true, {}, {} }, true);
            return restinio::request_accepted();
        }
        this->bodyBytes += requestBodyBytes;
        ExchangeToken token = this->nextToken++;
        HttpRequest converted = convertRequest(token, *request);
        this->byConnection.emplace(request->connection_id(), token);
        auto connection = request->connection_id();
        this->exchanges.emplace(token, Exchange { std::move(request), connection, requestBodyBytes });
        ++this->outstandingCount;
        this->handlers.onRequest(std::move(converted));
        return restinio::request_accepted();
    }

    void forget(ExchangeToken token, restinio::connection_id_t connection)
    {
        auto [first, last] = this->byConnection.equal_range(connection);
        auto entry = std::find_if(first, last, [&](const auto& item) { return item.second == token; });
        if (entry != last)
            this->byConnection.erase(entry);
        const auto exchange = this->exchanges.find(token);
        if (exchange == this->exchanges.end())
            return;
        this->bodyBytes -= exchange->second.bodyBytes;
        this->exchanges.erase(exchange);
    }

    void connectionClosed(restinio::connection_id_t connection)
    {
        auto [first, last] = this->byConnection.equal_range(connection);
        std::vector<ExchangeToken> tokens;
        for (auto entry = first; entry != last; ++entry)
            tokens.push_back(entry->second);
        for (ExchangeToken token : tokens) {
            this->forget(token, connection);
            --this->outstandingCount;
            this->handlers.onHangUp(token);
        }
    }

    void respond(ExchangeToken token, HttpResponse response)
    {
        auto exchange = this->exchanges.find(token);
        if (exchange == this->exchanges.end())
            return;
        if (response.validUntil && response.otherwise && Clock::now() > *response.validUntil)
            response = HttpResponse(*response.otherwise);
        auto request = std::move(exchange->second.request);
        this->forget(token, exchange->second.connection);
        writeResponse(request, std::move(response), !this->accepting, [this] { --this->outstandingCount; });
    }
};

HttpServer::HttpServer(const HttpServerSettings& settings, HttpServerHandlers handlers)
    : impl(std::make_unique<Impl>(settings, std::move(handlers)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::respond(ExchangeToken token, HttpResponse response)
{
    asio::post(this->impl->ioContext, [impl = this->impl.get(), token, response = std::move(response)]() mutable {
        impl->respond(token, std::move(response));
    });
}

void HttpServer::stopAccepting()
{
    asio::post(this->impl->ioContext, [impl = this->impl.get()] {
        impl->accepting = false;
        impl->server->close_sync();
    });
}

std::uint16_t HttpServer::port() const noexcept
{
    return this->impl->boundPort;
}

std::size_t HttpServer::outstanding() const noexcept
{
    return this->impl->outstandingCount;
}

}
