#pragma once

#include "flamingowick/model/Clock.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <string_view>

// Timers, socket options and addresses shared by the classes of this package, which all run on one thread.
namespace flamingowick::proxy {

using Timer = asio::basic_waitable_timer<Clock>;

// Sets TCP_NODELAY, and keep-alive probes that detect a dead peer within about three seconds. Errors are ignored, since
// the socket works without these options.
void setSocketOptions(asio::ip::tcp::socket&) noexcept;

// Limits what the kernel takes over for a peer beyond what is on its way; the rest stays with the writer. Errors are ignored.
void limitUnsentBytes(asio::ip::tcp::socket&, int bytes) noexcept;

// Limits what the kernel receives before it is read; the peer has to wait with the rest. Errors are ignored.
void limitUnreadBytes(asio::ip::tcp::socket&, int bytes) noexcept;

// Parses "ip:port". Throws SettingsError 111 for any other text.
asio::ip::tcp::endpoint parseTcpEndpoint(std::string_view address);
asio::ip::udp::endpoint parseUdpEndpoint(std::string_view address);

// Starts listening. Throws SettingsError 111 for an invalid address, GatewayError 400 when it can't be listened on.
asio::ip::tcp::acceptor listenOn(asio::io_context&, std::string_view address);

}
