#include "flamingowick/proxy/Sockets.h"

#include "flamingowick/model/Error.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <netinet/tcp.h>
#include <utility>

namespace flamingowick::proxy {

namespace {

    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;
    constexpr int acceptBacklog = 1024;

    template <int level, int name>
    using IntegerOption = asio::detail::socket_option::integer<level, name>;

    std::pair<asio::ip::address, unsigned short> parseAddress(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        asio::error_code error;
        unsigned short port = 0;
        if (colon != std::string_view::npos) {
            const std::string_view digits = text.substr(colon + 1);
            const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), port);
            const asio::ip::address address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
            if (!error && result.ec == std::errc() && result.ptr == digits.data() + digits.size())
                return { address, port };
        }
        throw SettingsError(111, "invalid address '" + std::string(text) + "': must be ip:port");
    }

}

void setSocketOptions(asio::ip::tcp::socket& socket) noexcept
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIntervalSeconds), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbes), ignored);
}

void limitUnsentBytes(asio::ip::tcp::socket& socket, int bytes) noexcept
{
    asio::error_code ignored;
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_NOTSENT_LOWAT>(bytes), ignored);
}

void limitUnreadBytes(asio::ip::tcp::socket& socket, int bytes) noexcept
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

asio::ip::tcp::endpoint parseTcpEndpoint(std::string_view address)
{
    const auto [ip, port] = parseAddress(address);
    return { ip, port };
}

asio::ip::udp::endpoint parseUdpEndpoint(std::string_view address)
{
    const auto [ip, port] = parseAddress(address);
    return { ip, port };
}

asio::ip::tcp::acceptor listenOn(asio::io_context& context, std::string_view address)
{
    const asio::ip::tcp::endpoint endpoint = parseTcpEndpoint(address);
    asio::error_code error;
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(acceptBacklog, error);
    if (error)
        throw GatewayError(400, "can't listen on " + std::string(address) + ": " + error.message());
    return acceptor;
}

}
