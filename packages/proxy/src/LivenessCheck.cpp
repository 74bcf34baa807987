#include "LivenessCheck.h"

#include <utility>

namespace flamingowick::proxy {

namespace {

    // How long a connection must last to show that its target is alive. A process closes all its sockets within
    // milliseconds, on a busy VM within tens of them.
    constexpr Duration holdTime { std::chrono::milliseconds(250) };
    // Connections that may end early before the target counts as dead, and the delay before the second, which doubles
    // each time: a live target that is short of connections resets some, but not all for most of a second.
    constexpr unsigned maxEndedConnections = 4;
    constexpr Duration firstRetryDelay { std::chrono::milliseconds(50) };

}

LivenessCheck::LivenessCheck(TargetConnections& connections, std::string targetInstance, std::string targetAddress, std::function<void(bool)> checkHandler)
    : owner(connections)
    , instance(std::move(targetInstance))
    , address(std::move(targetAddress))
    , socket(connections.context)
    , timer(connections.context)
    , handler(std::move(checkHandler))
{
}

void LivenessCheck::start()
{
    this->connector = std::make_shared<TargetConnector>(this->owner, this->instance, this->address);
    this->connector->start([self = this->shared_from_this()](Connected result) {
        self->connector = nullptr;
        if (!self->handler)
            return;
        if (!result.failure.empty()) {
            self->finish(false);
            return;
        }
        self->socket = std::move(result.socket);
        self->frames.reset();
        if (result.framed)
            self->frames.emplace();
        self->awaitEnd();
    });
}

void LivenessCheck::cancel()
{
    this->handler = nullptr;
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    if (this->connector)
        this->connector->cancel();
}

void LivenessCheck::awaitEnd()
{
    this->finishAfter(holdTime, true);
    this->read();
}

void LivenessCheck::read()
{
    this->socket.async_read_some(asio::buffer(this->inputBuffer), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
        if (!self->handler)
            return;
        const std::size_t contentSize = !error && self->frames ? self->frames->extractContent({ self->inputBuffer.data(), size }) : size;
        if (error || (self->frames && self->frames->hasEnded()))
            self->handleEnd();
        else if (contentSize > 0)
            self->finish(true);
        else
            self->read();
    });
}

void LivenessCheck::handleEnd()
{
    ++this->endedConnections;
    if (this->endedConnections == maxEndedConnections) {
        this->finish(false);
        return;
    }
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.expires_after(firstRetryDelay * (1U << (this->endedConnections - 1)));
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error && self->handler)
            self->start();
    });
}

void LivenessCheck::finishAfter(Duration delay, bool alive)
{
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this(), alive](const asio::error_code& error) {
        if (!error)
            self->finish(alive);
    });
}

void LivenessCheck::finish(bool alive)
{
    if (!this->handler)
        return;
    const std::shared_ptr<LivenessCheck> self = this->shared_from_this();
    const std::function<void(bool)> completion = std::move(this->handler);
    this->cancel();
    this->owner.livenessChecks.erase(self);
    completion(alive);
}

}
