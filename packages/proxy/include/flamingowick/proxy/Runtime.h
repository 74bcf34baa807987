#pragma once

#include "flamingowick/model/Clock.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <string_view>

// What the parts of the data path share: one thread, its timers and socket options.
namespace flamingowick::proxy {

using Timer = asio::basic_waitable_timer<Clock>;

// Sends small writes at once, and probes a silent peer, so that a connection that was cut without a
// word is noticed within about three seconds. Errors are ignored: the socket works without.
void tuneSocket(asio::ip::tcp::socket&) noexcept;

// Parses "ip:port". Throws SettingsError 111 when the text is none.
asio::ip::tcp::endpoint tcpEndpoint(std::string_view address);
asio::ip::udp::endpoint udpEndpoint(std::string_view address);

// Starts to listen. Throws GatewayError 400 when the address can't be opened.
asio::ip::tcp::acceptor listenOn(asio::io_context&, std::string_view address);

}
