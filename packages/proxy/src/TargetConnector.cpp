#include "TargetConnector.h"

#include "flamingowick/proxy/TunnelServer.h"

#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <utility>

namespace flamingowick::proxy {

namespace {

    // Long enough for a handshake across failure domains on a busy VM. TCP retransmits a lost SYN only after a
    // second, so that trying another target is faster than waiting for it.
    constexpr Duration connectTimeout { std::chrono::milliseconds(300) };
    // How late a direct connection has to be for another daemon to be asked. Leaves it half of the time.
    constexpr Duration memberDelay { std::chrono::milliseconds(150) };
    // Daemons that are asked for one connection.
    constexpr std::size_t maxMembersTried = 3;
    // Members that can't connect to a target before it counts as unreachable: a single one may be cut off itself.
    constexpr std::size_t membersForUnreachable = 2;
    constexpr std::size_t maxReplyBytes = 1024;
    constexpr std::string_view endOfHeader = "\r\n\r\n";

}

TargetConnector::TargetConnector(TargetConnections& connections, std::string targetInstance, std::string targetAddress)
    : owner(connections)
    , instance(std::move(targetInstance))
    , address(std::move(targetAddress))
    , directSocket(connections.context)
    , memberSocket(connections.context)
    , timeoutTimer(connections.context)
    , memberTimer(connections.context)
{
}

void TargetConnector::start(Handler connectHandler)
{
    this->handler = std::move(connectHandler);
    this->plan = planConnection(this->owner.paths, this->instance, Clock::now());
    this->timeoutTimer.expires_after(connectTimeout);
    this->timeoutTimer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error && self->handler)
            self->finish({ asio::ip::tcp::socket(self->owner.context), {}, "connect-timeout" });
    });
    if (this->plan.direct)
        this->startDirect();
    if (!this->plan.throughMember || !this->handler)
        return;
    if (!this->plan.direct || isCutOff(this->owner.paths)) {
        this->startThroughMember();
        return;
    }
    this->memberTimer.expires_after(memberDelay);
    this->memberTimer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error && self->handler && !self->memberStarted)
            self->startThroughMember();
    });
}

void TargetConnector::cancel()
{
    this->handler = nullptr;
    asio::error_code ignored;
    this->directSocket.close(ignored);
    this->memberSocket.close(ignored);
    this->timeoutTimer.cancel();
    this->memberTimer.cancel();
}

void TargetConnector::startDirect()
{
    this->plan.direct = true;
    asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = parseTcpEndpoint(this->address);
    } catch (const std::exception&) {
        this->plan.throughMember = false;
        asio::post(this->owner.context, [self = this->shared_from_this()] {
            if (self->handler)
                self->finish({ asio::ip::tcp::socket(self->owner.context), {}, "address" });
        });
        return;
    }
    ++this->owner.connectionsOpened;
    this->directSocket.async_connect(endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
        if (self->handler)
            self->handleDirect(error);
    });
}

void TargetConnector::handleDirect(const asio::error_code& error)
{
    if (!error) {
        setSocketOptions(this->directSocket);
        if (recordDirectConnection(this->owner.paths))
            this->owner.onPathChange();
        this->finish({ std::move(this->directSocket), {}, {} });
        return;
    }
    this->directFailed = true;
    if (this->plan.throughMember && !this->memberStarted)
        this->startThroughMember();
    else
        this->failIfNoWayIsLeft();
}

void TargetConnector::startThroughMember()
{
    this->memberStarted = true;
    this->memberTimer.cancel();
    const std::optional<TunnelMember> member = this->triedMembers.size() < maxMembersTried ? this->owner.chooseMember(this->triedMembers) : std::nullopt;
    if (!member) {
        this->memberFailed = true;
        // Without a member that can help, the target may still be reached directly.
        if (!this->plan.direct)
            this->startDirect();
        else
            this->failIfNoWayIsLeft();
        return;
    }
    this->triedMembers.push_back(member->name);
    this->memberSocket = asio::ip::tcp::socket(this->owner.context);
    this->memberSocket.async_connect(parseTcpEndpoint(member->address), [self = this->shared_from_this()](const asio::error_code& error) {
        if (!self->handler)
            return;
        if (error)
            self->handleMemberFailure(false);
        else
            self->requestTunnel();
    });
}

void TargetConnector::requestTunnel()
{
    setSocketOptions(this->memberSocket);
    this->request = tunnelRequest(this->instance);
    this->reply.clear();
    asio::async_write(this->memberSocket, asio::buffer(this->request), [self = this->shared_from_this()](const asio::error_code&, std::size_t) {
        // A write error needs no handling: the pending read fails as well.
    });
    asio::async_read_until(this->memberSocket, asio::dynamic_buffer(this->reply, maxReplyBytes), endOfHeader, [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
        if (self->handler)
            self->handleTunnelReply(error);
    });
}

void TargetConnector::handleTunnelReply(const asio::error_code& error)
{
    const TunnelReply outcome = error ? TunnelReply::Unusable : parseTunnelReply(this->reply);
    const bool isEstablished = outcome == TunnelReply::Established || outcome == TunnelReply::EstablishedPlain;
    // A target sends nothing before a request, so that more bytes than the reply belong to no response.
    if (!isEstablished || this->reply.find(endOfHeader) + endOfHeader.size() != this->reply.size()) {
        this->handleMemberFailure(outcome == TunnelReply::TargetUnreachable);
        return;
    }
    for (const std::string& name : this->membersWithoutTarget)
        recordUnusableMember(this->owner.paths, name, Clock::now());
    if (recordPathFault(this->owner.paths, this->instance, Clock::now()))
        this->owner.onPathChange();
    this->finish({ std::move(this->memberSocket), this->triedMembers.back(), {}, outcome == TunnelReply::Established });
}

void TargetConnector::handleMemberFailure(bool isTargetUnreachable)
{
    asio::error_code ignored;
    this->memberSocket.close(ignored);
    if (isTargetUnreachable)
        this->membersWithoutTarget.push_back(this->triedMembers.back());
    else
        recordUnusableMember(this->owner.paths, this->triedMembers.back(), Clock::now());
    if (this->membersWithoutTarget.size() < membersForUnreachable) {
        this->startThroughMember();
        return;
    }
    recordUnreachable(this->owner.paths, this->instance, Clock::now());
    this->memberFailed = true;
    if (this->plan.direct)
        this->failIfNoWayIsLeft();
    else
        this->finish({ asio::ip::tcp::socket(this->owner.context), {}, "connect-failed" });
}

void TargetConnector::failIfNoWayIsLeft()
{
    const bool memberLeft = this->plan.throughMember && !this->memberFailed;
    if (this->directFailed && !memberLeft)
        this->finish({ asio::ip::tcp::socket(this->owner.context), {}, "connect-failed" });
}

void TargetConnector::finish(Connected result)
{
    const std::shared_ptr<TargetConnector> self = this->shared_from_this();
    const Handler completion = std::move(this->handler);
    this->cancel();
    completion(std::move(result));
}

}
