#include "flamingowick/proxy/TargetLinks.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t readBytes = 16U << 10U;
    // Long enough for a handshake across domains on a busy VM; a lost packet is sent again only after a
    // second, so that another target is the better choice.
    constexpr Duration connectTimeout { std::chrono::milliseconds(300) };
    // Idle time that is taken for granted when the target announces none.
    constexpr Duration unannouncedIdle { std::chrono::seconds(2) };
    // Shares of the announced idle time inside which a connection is reused. A request that must not
    // be repeated is lost when it meets the target's close.
    constexpr double idempotentIdleShare = 0.8;
    constexpr double unrepeatableIdleShare = 0.6;
    constexpr std::size_t maxIdlePerInstance = 4;

    Duration announcedIdle(const HttpMessage& answer)
    {
        const std::string_view text = headerValue(answer, "keep-alive");
        const std::size_t at = text.find("timeout=");
        unsigned seconds = 0;
        if (at == std::string_view::npos || std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds).ec != std::errc())
            return unannouncedIdle;
        return std::chrono::seconds(seconds);
    }

}

grants::Outcome judgeAnswer(const HttpMessage& answer, const HeaderNames& names, std::string_view requestId)
{
    if (answer.status == 421)
        return grants::Outcome::Replaced;
    if (!headerValue(answer, names.notExecuted).empty())
        return grants::Outcome::Shed;
    if (!headerValue(answer, "content-encoding").empty())
        return grants::Outcome::Broken;
    if (answer.status >= 200 && answer.status < 300) {
        const bool proven = !headerValue(answer, names.signature).empty() && headerValue(answer, names.requestId) == requestId;
        return proven ? grants::Outcome::Succeeded : grants::Outcome::Broken;
    }
    return answer.status >= 500 || answer.status == 429 || answer.status == 408 ? grants::Outcome::Failed : grants::Outcome::Succeeded;
}

class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
    TargetLink(TargetLinks& links, std::string linkInstance)
        : owner(links)
        , instance(std::move(linkInstance))
        , socket(links.context)
        , timer(links.context)
        , reader(MessageReader::Kind::Answers, {})
        , inputBuffer(readBytes, '\0')
    {
    }

    void begin(std::uint64_t number, AttemptSpec attemptSpec, AttemptHandler attemptHandler)
    {
        this->attempt = number;
        this->spec = std::move(attemptSpec);
        this->handler = std::move(attemptHandler);
        this->reader.restart(this->spec.limits, this->spec.bodyless);
        this->mustClose = false;
        this->sent = false;
        if (this->socket.is_open())
            this->send();
        else
            this->connect();
    }

    // Whether the target is sure to keep the connection until a request arrives.
    bool reusable(bool idempotent) const
    {
        const auto idleFor = std::chrono::duration<double>(Clock::now() - this->idleSince).count();
        const auto allowed = std::chrono::duration<double>(this->idleTime).count();
        return this->socket.is_open() && idleFor < allowed * (idempotent ? idempotentIdleShare : unrepeatableIdleShare);
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
    void connect()
    {
        this->newConnection = true;
        ++this->owner.connectionsOpened;
        asio::ip::tcp::endpoint endpoint;
        try {
            endpoint = tcpEndpoint(this->spec.address);
        } catch (const std::exception&) {
            asio::post(this->owner.context, [self = this->shared_from_this()] { self->fail(grants::Outcome::Unreachable, "address"); });
            return;
        }
        this->timer.expires_after(connectTimeout);
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && !self->closed && !self->sent)
                self->fail(grants::Outcome::Unreachable, "connect-timeout");
        });
        this->socket.async_connect(endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
            if (self->closed)
                return;
            self->timer.cancel();
            if (error) {
                self->fail(grants::Outcome::Unreachable, "connect-failed");
                return;
            }
            tuneSocket(self->socket);
            self->send();
        });
    }

    void send()
    {
        this->sent = true;
        this->writing = true;
        asio::async_write(this->socket, asio::buffer(this->spec.bytes), [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            self->writing = false;
            // The answer may be on its way although the rest of the request was not taken.
            if (error)
                self->mustClose = true;
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
                self->afterRead(error, size);
        });
    }

    void afterRead(const asio::error_code& error, std::size_t size)
    {
        if (!this->handler) {
            // The target closed an idle connection, or sent what nobody asked for.
            this->discard();
            return;
        }
        if (error) {
            if (error == asio::error::eof)
                this->reader.takeEnd();
            this->mustClose = true;
            if (this->reader.state() == ReadState::Complete)
                this->conclude();
            else
                this->fail(grants::Outcome::Broken, error == asio::error::eof ? "closed" : "reset");
            return;
        }
        this->consume(std::string_view(this->inputBuffer).substr(0, size));
    }

    void consume(std::string_view bytes)
    {
        while (!bytes.empty()) {
            bytes.remove_prefix(this->reader.take(bytes));
            if (this->reader.state() == ReadState::Incomplete)
                break;
            if (this->reader.state() != ReadState::Complete) {
                this->mustClose = true;
                this->fail(grants::Outcome::Broken, "not-http");
                return;
            }
            if (this->isForeign()) {
                this->mustClose = true;
                this->reader.restart(this->spec.limits, this->spec.bodyless);
                continue;
            }
            // What follows the answer belongs to no request.
            if (!bytes.empty())
                this->mustClose = true;
            this->conclude();
            return;
        }
        this->read();
    }

    // An interim answer, or a late one to an earlier request on this connection.
    bool isForeign()
    {
        const HttpMessage& answer = this->reader.message();
        if (answer.status < 200)
            return true;
        const std::string_view echoed = headerValue(answer, this->owner.names.requestId);
        return !echoed.empty() && echoed != this->spec.requestId;
    }

    void conclude()
    {
        AttemptResult result;
        result.sent = true;
        result.newConnection = this->newConnection;
        result.answer = std::move(this->reader.message());
        result.outcome = judgeAnswer(result.answer, this->owner.names, this->spec.requestId);
        if (result.outcome == grants::Outcome::Broken)
            result.reason = "unproven";
        const bool keep = !this->mustClose && !this->writing && result.answer.keepAlive && result.outcome != grants::Outcome::Broken && result.outcome != grants::Outcome::Replaced;
        this->idleTime = announcedIdle(result.answer);
        this->deliver(std::move(result), keep);
    }

    void fail(grants::Outcome outcome, std::string_view reason)
    {
        AttemptResult result;
        result.outcome = outcome;
        result.sent = this->sent;
        result.newConnection = this->newConnection;
        result.reason = reason;
        this->deliver(std::move(result), false);
    }

    void deliver(AttemptResult result, bool keep)
    {
        const std::shared_ptr<TargetLink> self = this->shared_from_this();
        const AttemptHandler done = std::move(this->handler);
        this->handler = nullptr;
        this->owner.busy.erase(this->attempt);
        if (keep) {
            this->newConnection = false;
            this->idleSince = Clock::now();
            auto& links = this->owner.idle[this->instance];
            if (links.size() >= maxIdlePerInstance) {
                links.front()->close();
                links.erase(links.begin());
            }
            links.push_back(self);
            this->read();
        } else {
            this->close();
        }
        if (done)
            done(std::move(result));
    }

    void discard()
    {
        const std::shared_ptr<TargetLink> self = this->shared_from_this();
        this->close();
        const auto links = this->owner.idle.find(this->instance);
        if (links == this->owner.idle.end())
            return;
        std::erase(links->second, self);
        if (links->second.empty())
            this->owner.idle.erase(links);
    }

    TargetLinks& owner;
    std::string instance;
    asio::ip::tcp::socket socket;
    Timer timer;
    MessageReader reader;
    std::string inputBuffer;
    AttemptSpec spec;
    AttemptHandler handler;
    std::uint64_t attempt { 0 };
    TimePoint idleSince;
    Duration idleTime { 0 };
    bool newConnection { false };
    bool sent { false };
    bool writing { false };
    bool reading { false };
    bool mustClose { false };
    bool closed { false };
};

TargetLinks::TargetLinks(asio::io_context& ioContext, HeaderNames headerNames)
    : context(ioContext)
    , names(std::move(headerNames))
{
}

TargetLinks::~TargetLinks()
{
    for (auto& [instance, links] : this->idle) {
        for (const auto& link : links)
            link->close();
    }
    for (auto& [attempt, link] : this->busy)
        link->close();
}

std::uint64_t TargetLinks::start(AttemptSpec spec, AttemptHandler handler)
{
    const std::uint64_t number = ++this->lastAttempt;
    std::shared_ptr<TargetLink> link;
    if (const auto kept = this->idle.find(spec.instance); kept != this->idle.end()) {
        while (!kept->second.empty() && !link) {
            link = kept->second.back();
            kept->second.pop_back();
            if (!link->reusable(spec.idempotent)) {
                link->close();
                link = nullptr;
            }
        }
        if (kept->second.empty())
            this->idle.erase(kept);
    }
    if (!link)
        link = std::make_shared<TargetLink>(*this, spec.instance);
    this->busy.emplace(number, link);
    link->begin(number, std::move(spec), std::move(handler));
    return number;
}

void TargetLinks::cancel(std::uint64_t attempt)
{
    const auto found = this->busy.find(attempt);
    if (found == this->busy.end())
        return;
    const std::shared_ptr<TargetLink> link = found->second;
    this->busy.erase(found);
    link->close();
}

bool TargetLinks::hasIdle(const std::string& instance, bool idempotent) const
{
    const auto found = this->idle.find(instance);
    return found != this->idle.end() && std::any_of(found->second.begin(), found->second.end(), [idempotent](const auto& link) { return link->reusable(idempotent); });
}

void TargetLinks::forget(const std::string& instance)
{
    const auto found = this->idle.find(instance);
    if (found == this->idle.end())
        return;
    for (const auto& link : found->second)
        link->close();
    this->idle.erase(found);
}

std::size_t TargetLinks::idleCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& [instance, links] : this->idle)
        count += links.size();
    return count;
}

}
