#include "RequestCourse.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    using grants::Outcome;
    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::Weight;

    // A dispatcher on a busy VM answers within a few milliseconds; one datagram may get lost.
    constexpr Duration firstPatience { milliseconds(25) };
    constexpr Duration secondPatience { milliseconds(45) };
    // Dispatchers that are asked before the entry decides alone.
    constexpr std::size_t maxDispatchers = 2;
    // A waiting request makes sure this often that its dispatcher still knows it.
    constexpr Duration waitCheck { milliseconds(250) };
    // The caller's clock started before its request came, and the answer has a way to go.
    constexpr Duration answerMargin { milliseconds(20) };
    // Attempts with less time are not worth sending.
    constexpr Duration leastAttempt { milliseconds(20) };
    // Pause before a further attempt is asked for again beside one that is late.
    constexpr Duration hedgeRetry { milliseconds(60) };
    // Idle connections named in a question, which has to fit a datagram.
    constexpr std::size_t maxWarmNamed = 12;
    constexpr std::size_t maxGroupsTried = 3;

    Duration callerPatience(const HttpMessage& request, std::string_view header, Duration fallback)
    {
        const std::string_view text = headerValue(request, header);
        std::int64_t value = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0)
            return fallback;
        return std::min<Duration>(milliseconds(std::min<std::int64_t>(value, 3'600'000)), fallback);
    }

    // Statuses that promise that a request has not run. A target's own word with one of them doesn't
    // promise that, unless it says so.
    bool promisesNotRun(unsigned status) noexcept
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    std::string secondsText(Duration duration)
    {
        const auto count = std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count());
        std::string fraction = std::to_string(1000 + count % 1000);
        fraction.front() = '.';
        return std::to_string(count / 1000) + fraction;
    }

    std::string serviceLabel(std::string_view service)
    {
        return std::string("service=\"").append(service).append("\"");
    }

}

RequestCourse::RequestCourse(Entry& owner, std::shared_ptr<CallerConnection> connection, std::shared_ptr<const ConfigurationInForce> inForce, const Route& chosen, std::string chosenService)
    : entry(owner)
    , context(owner.context)
    , caller(std::move(connection))
    , configuration(std::move(inForce))
    , route(chosen)
    , service(std::move(chosenService))
    , requestId(headerValue(this->caller->request(), this->context.settings.headers.requestId))
    , began(this->caller->requestBegan())
    , workload(static_cast<std::uint32_t>(stableHash(this->route.name)))
    , timer(this->context.io)
{
    const Duration patience = callerPatience(this->caller->request(), this->context.settings.headers.timeLeft, this->route.timeout);
    this->deadline = this->began + std::max<Duration>(patience - answerMargin, Duration::zero());
}

void RequestCourse::begin()
{
    this->caller->onGone = [self = this->shared_from_this()] { self->callerLeft(); };
    const TimePoint now = Clock::now();
    this->context.log.write(Weight::Request, "entry", "routed",
        EventFields().text("request", this->requestId).text("route", this->route.name).text("service", this->service).number("configuration", static_cast<std::int64_t>(this->configuration->configuration.version)).milliseconds("configurationAgeMs", now - this->configuration->since).milliseconds("leftMs", this->deadline - now));
    if (this->deadline - now < leastAttempt) {
        this->answerOwn(503, "no-time", milliseconds(0));
        return;
    }
    this->ask(false);
    if (!this->done)
        this->planTimer();
}

std::vector<std::string> RequestCourse::warmInstances() const
{
    std::vector<std::string> warm;
    for (const auto& [instance, known] : this->context.directory.entries) {
        if (known.entry.service == this->service && !known.entry.target.leaving && this->context.links.hasIdle(instance, this->route.idempotent))
            warm.push_back(instance);
    }
    return warm;
}

// Returns, of two groups at random, the one with more idle connections. Groups that refused this request
// are passed over, as long as there is another.
unsigned RequestCourse::chooseGroup(std::span<const std::string> warm, unsigned count) const
{
    std::vector<unsigned> open;
    for (unsigned index = 0; index < count; ++index) {
        // The first question finds none refused, and needs no names.
        if (this->refusedGroups.empty() || std::find(this->refusedGroups.begin(), this->refusedGroups.end(), groupName({ this->service, index, count })) == this->refusedGroups.end())
            open.push_back(index);
    }
    if (open.empty())
        return static_cast<unsigned>(this->entry.random() % count);
    const unsigned first = open[this->entry.random() % open.size()];
    const unsigned second = open[this->entry.random() % open.size()];
    const auto warmIn = [&](unsigned index) {
        const TargetGroup group { this->service, index, count };
        return std::count_if(warm.begin(), warm.end(), [&group](const std::string& instance) { return inGroup(group, instance); });
    };
    return warmIn(second) > warmIn(first) ? second : first;
}

unsigned RequestCourse::groupTotal() const
{
    return groupCount(countTargets(this->context.directory, this->service));
}

void RequestCourse::openQuestion(bool repeat)
{
    const unsigned count = this->groupTotal();
    Question next;
    next.number = this->entry.nextNumber();
    next.warm = this->warmInstances();
    const TargetGroup group { this->service, this->chooseGroup(next.warm, count), count };
    std::erase_if(next.warm, [&group](const std::string& instance) { return !inGroup(group, instance); });
    next.warm.resize(std::min(next.warm.size(), maxWarmNamed));
    next.group = groupName(group);
    next.dispatchers = dispatchersOf(this->context.fleet, next.group);
    next.repeat = repeat;
    next.since = Clock::now();
    this->asked = std::move(next);
    this->entry.asking[this->asked->number] = this;
}

void RequestCourse::ask(bool repeat)
{
    this->openQuestion(repeat);
    this->askNext();
}

AskMessage RequestCourse::question() const
{
    AskMessage message;
    message.number = this->asked->number;
    message.group = this->asked->group;
    message.left = this->deadline - Clock::now();
    grants::GrantRequest& request = message.request;
    request.key = { this->context.sender, message.number };
    request.label = this->requestId;
    request.rank = this->route.rank;
    request.repeat = this->asked->repeat;
    request.idempotent = this->route.idempotent;
    request.workload = this->workload;
    request.deadline = this->deadline;
    request.objective = this->route.objective;
    request.failureDomain = this->context.settings.failureDomain;
    request.avoid = this->tried;
    request.warm = this->asked->warm;
    return message;
}

void RequestCourse::askNext()
{
    const TimePoint now = Clock::now();
    Question& question = *this->asked;
    while (question.index < std::min(question.dispatchers.size(), maxDispatchers)) {
        const std::string& name = question.dispatchers[question.index];
        if (name == this->context.fleet.self) {
            question.due = now + waitCheck;
            question.waits = true;
            this->context.hosted.ask(this->question());
            return;
        }
        const auto member = this->context.fleet.members.find(name);
        if (question.tries < 2 && member != this->context.fleet.members.end()) {
            question.due = now + (question.tries == 0 ? firstPatience : secondPatience);
            ++question.tries;
            this->context.peers.send(member->second.address, this->question());
            return;
        }
        if (memberSilent(this->context.fleet, name, now)) {
            this->context.log.write(Weight::Process, "fleet", "member-silent", EventFields().text("member", name).text("group", question.group).text("request", this->requestId));
            this->context.onSuspicion();
            // The next in line knows nothing of what this daemon has under way.
            if (question.index + 1 < question.dispatchers.size())
                this->entry.reportRunning(question.dispatchers[question.index + 1], question.group);
        }
        this->context.metrics.count("flamingowick_dispatcher_silent_total");
        ++question.index;
        question.tries = 0;
        // A late word of the silent dispatcher must not be taken for the next one's.
        this->entry.asking.erase(question.number);
        question.number = this->entry.nextNumber();
        this->entry.asking[question.number] = this;
    }
    this->decideAlone();
}

// Without a dispatcher the request goes by what this daemon has seen itself.
void RequestCourse::decideAlone()
{
    Question& question = *this->asked;
    this->context.metrics.count("flamingowick_decided_alone_total");
    question.due = Clock::now() + waitCheck;
    question.waits = true;
    question.index = maxDispatchers;
    this->context.own.ask(this->question());
}

void RequestCourse::dropQuestion()
{
    if (!this->asked)
        return;
    this->entry.asking.erase(this->asked->number);
    // The dispatcher may hold the request in its queue.
    const Question question = std::move(*this->asked);
    this->asked.reset();
    const grants::AttemptKey key { this->context.sender, question.number };
    if (question.index >= std::min(question.dispatchers.size(), maxDispatchers)) {
        this->context.own.end(question.group, key, Outcome::Abandoned, Duration::zero());
        return;
    }
    this->entry.sendEnd(question.dispatchers[question.index], { question.number, question.group, Outcome::Abandoned, Duration::zero() });
}

void RequestCourse::takeWord(const std::string& granter, const WordMessage& word)
{
    if (this->done || !this->asked || this->asked->number != word.decision.key.number)
        return;
    if (word.kind == WordKind::Waits) {
        this->asked->waits = true;
        this->asked->tries = 0;
        this->asked->due = Clock::now() + waitCheck;
        this->planTimer();
        return;
    }
    if (word.kind == WordKind::Granted)
        this->granted(word.decision, granter);
    else
        this->refused(word.decision, granter);
    if (!this->done)
        this->planTimer();
}

void RequestCourse::granted(const grants::Decision& decision, const std::string& granter)
{
    const Attempt attempt { this->asked->number, decision.instance, this->asked->group, granter, 0, Clock::now() };
    const bool repeat = this->asked->repeat;
    this->entry.asking.erase(this->asked->number);
    this->asked.reset();
    if (!takesRequests(this->context.directory, decision.instance)) {
        // This daemon knows better: the target is leaving or unknown here.
        this->context.log.write(Weight::Request, "entry", "grant-declined", EventFields().text("request", this->requestId).text("target", decision.instance).text("dispatcher", granter).text("reason", "not-listed"));
        this->report(attempt, Outcome::Abandoned, Duration::zero());
        this->tried.push_back(decision.instance);
        this->ask(repeat);
        return;
    }
    this->send(decision, granter);
}

void RequestCourse::send(const grants::Decision& decision, const std::string& granter)
{
    const TimePoint now = Clock::now();
    const TargetEntry& target = this->context.directory.entries.find(decision.instance)->second.entry;
    AttemptSpec spec;
    spec.instance = decision.instance;
    spec.address = target.target.address;
    spec.bytes = this->requestBytes(decision.instance);
    spec.requestId = this->requestId;
    spec.idempotent = this->route.idempotent;
    spec.bodyless = this->caller->request().method == "HEAD";
    Attempt attempt;
    attempt.number = decision.key.number;
    attempt.instance = decision.instance;
    attempt.group = groupName(groupOf(this->service, decision.instance, this->groupTotal()));
    attempt.granter = granter;
    attempt.startedAt = now;
    this->tried.push_back(decision.instance);
    ++this->sentCount;
    this->context.log.write(Weight::Request, "entry", "sent",
        EventFields().text("request", this->requestId).text("target", decision.instance).text("address", spec.address).text("dispatcher", granter).real("failing", decision.failing).number("inFlight", decision.inFlight).number("waiting", static_cast<std::int64_t>(decision.waiting)).number("attempt", this->sentCount).milliseconds("ageMs", now - this->began));
    const std::uint64_t number = attempt.number;
    attempt.link = this->context.links.start(std::move(spec), [self = this->shared_from_this(), number](AttemptResult result) { self->ended(number, std::move(result)); });
    if (granter != decidedAlone)
        this->context.own.running({ this->context.sender, number }, { number, attempt.group, attempt.instance, Duration::zero(), this->workload });
    this->entry.activeNumbers.insert(number);
    this->attempts.push_back(std::move(attempt));
    if (this->route.idempotent && this->sentCount < this->route.maxAttempts)
        this->hedgeAt = now + std::max<Duration>(decision.unusualAfter, milliseconds(50));
    else
        this->hedgeAt.reset();
}

bool RequestCourse::knowsTarget() const
{
    const auto& entries = this->context.directory.entries;
    return std::any_of(entries.begin(), entries.end(), [this](const auto& item) {
        const TargetEntry& known = item.second.entry;
        return known.service == this->service && !known.target.leaving && std::find(this->tried.begin(), this->tried.end(), item.first) == this->tried.end();
    });
}

void RequestCourse::refused(const grants::Decision& decision, const std::string& granter)
{
    const std::string group = this->asked->group;
    const bool repeat = this->asked->repeat;
    this->entry.asking.erase(this->asked->number);
    this->asked.reset();
    this->lastRetryAfter = decision.retryAfter;
    this->lastReason = toString(decision.reason);
    this->context.log.write(Weight::Request, "entry", "refused",
        EventFields().text("request", this->requestId).text("group", group).text("reason", this->lastReason).number("waiting", static_cast<std::int64_t>(decision.waiting)).milliseconds("retryAfterMs", decision.retryAfter).flag("repeat", repeat));
    // A dispatcher that has just started doesn't know the targets yet.
    if (decision.reason == grants::RefusalReason::NoTarget && granter != decidedAlone && this->attempts.empty() && this->knowsTarget()) {
        this->openQuestion(repeat);
        this->decideAlone();
        return;
    }
    // Another attempt may still answer; if not, there may be room a little later.
    if (!this->attempts.empty()) {
        this->hedgeAt = Clock::now() + hedgeRetry;
        return;
    }
    this->refusedGroups.push_back(group);
    const unsigned count = this->groupTotal();
    if (decision.reason != grants::RefusalReason::NoRetry && this->refusedGroups.size() < std::min<std::size_t>(count, maxGroupsTried)) {
        this->ask(repeat);
        return;
    }
    this->concludeWithout(decision.retryAfter);
}

std::string RequestCourse::requestBytes(const std::string& instance)
{
    const HttpMessage& request = this->caller->request();
    const HeaderNames& names = this->context.settings.headers;
    const auto left = std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(this->deadline - Clock::now()).count());
    std::string bytes;
    bytes.reserve(request.body.size() + 512);
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const Header& header : request.headers) {
        if (concernsConnection(request, header.name) || sameName(header.name, "content-length") || sameName(header.name, "expect") || sameName(header.name, names.timeLeft) || sameName(header.name, names.expectedInstance))
            continue;
        bytes.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    bytes.append(names.timeLeft).append(": ").append(std::to_string(left)).append("\r\n");
    bytes.append(names.expectedInstance).append(": ").append(instance).append("\r\n");
    const bool framed = !headerValue(request, "content-length").empty() || !headerValue(request, "transfer-encoding").empty();
    if (framed || !request.body.empty())
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    bytes.append("\r\n").append(request.body);
    return bytes;
}

void RequestCourse::report(const Attempt& attempt, Outcome outcome, Duration lasted)
{
    const grants::AttemptKey key { this->context.sender, attempt.number };
    this->entry.activeNumbers.erase(attempt.number);
    this->context.own.end(attempt.group, key, outcome, lasted);
    const EndMessage message { attempt.number, attempt.group, outcome, lasted };
    this->entry.sendEnd(attempt.granter, message);
    // A dispatcher that has taken the group over was told of the attempt, or learns from its end.
    const std::vector<std::string> dispatchers = dispatchersOf(this->context.fleet, attempt.group);
    if (!dispatchers.empty() && dispatchers.front() != attempt.granter)
        this->entry.sendEnd(dispatchers.front(), message);
}

void RequestCourse::ended(std::uint64_t number, AttemptResult result)
{
    const auto found = std::find_if(this->attempts.begin(), this->attempts.end(), [number](const Attempt& attempt) { return attempt.number == number; });
    if (this->done || found == this->attempts.end())
        return;
    const Attempt attempt = *found;
    this->attempts.erase(found);
    const Duration lasted = Clock::now() - attempt.startedAt;
    this->report(attempt, result.outcome, lasted);
    this->context.metrics.count("flamingowick_attempts_total", serviceLabel(this->service).append(",outcome=\"").append(toString(result.outcome)).append("\""));
    this->context.metrics.record("flamingowick_attempt_seconds", serviceLabel(this->service), lasted);
    if (result.outcome == Outcome::Succeeded) {
        this->pass(result.answer);
        return;
    }
    this->context.log.write(Weight::Request, "entry", "attempt-failed",
        EventFields().text("request", this->requestId).text("target", attempt.instance).text("outcome", toString(result.outcome)).number("status", result.answer.status).text("reason", result.reason).flag("newConnection", result.newConnection).milliseconds("lastedMs", lasted));
    const bool notRun = result.outcome == Outcome::Shed || result.outcome == Outcome::Replaced || result.outcome == Outcome::Unreachable;
    if (notRun) {
        this->lastReason = toString(result.outcome);
        if (result.outcome == Outcome::Unreachable)
            --this->sentCount;
    } else {
        this->mayHaveRun = true;
        if (result.outcome == Outcome::Failed)
            this->failure = std::move(result.answer);
    }
    this->failedOrShed();
    if (!this->done)
        this->planTimer();
}

bool RequestCourse::mayAskAgain() const
{
    return (this->route.idempotent || !this->mayHaveRun) && this->sentCount < std::max(1U, this->route.maxAttempts) && this->deadline - Clock::now() > leastAttempt;
}

void RequestCourse::failedOrShed()
{
    // What is under way may still answer.
    if (!this->attempts.empty() || this->asked)
        return;
    if (this->mayAskAgain()) {
        this->ask(this->sentCount > 0);
        return;
    }
    this->concludeWithout(this->lastRetryAfter);
}

void RequestCourse::concludeWithout(Duration retryAfter)
{
    if (this->failure && !promisesNotRun(this->failure->status)) {
        this->pass(HttpMessage(*this->failure));
        return;
    }
    if (this->mayHaveRun)
        this->answerOwn(502, "outcome-unknown", std::nullopt);
    else
        this->answerOwn(503, this->lastReason, retryAfter);
}

void RequestCourse::pass(const HttpMessage& answer)
{
    if (promisesNotRun(answer.status)) {
        this->answerOwn(502, "target-failed", std::nullopt);
        return;
    }
    const unsigned status = answer.status;
    const std::string instance = this->tried.empty() ? std::string() : this->tried.back();
    this->caller->respond(answer);
    this->finish(status, "target", instance);
}

void RequestCourse::answerOwn(unsigned status, std::string_view reason, std::optional<Duration> retryAfter)
{
    HttpMessage answer;
    answer.status = status;
    answer.headers.push_back({ this->context.settings.headers.requestId, this->requestId });
    answer.headers.push_back({ "Content-Type", "text/plain" });
    if (retryAfter)
        answer.headers.push_back({ "Retry-After", secondsText(*retryAfter) });
    answer.body = std::string(reason).append("\n");
    this->caller->respond(answer);
    this->finish(status, reason, {});
}

void RequestCourse::finish(unsigned status, std::string_view reason, const std::string& instance)
{
    this->done = true;
    this->caller->onGone = nullptr;
    const TimePoint now = Clock::now();
    this->context.log.write(Weight::Request, "entry", "answered",
        EventFields().text("request", this->requestId).text("service", this->service).number("status", status).text("reason", reason).text("target", instance).number("attempts", this->sentCount).milliseconds("tookMs", now - this->began).milliseconds("leftMs", this->deadline - now));
    std::string labels = serviceLabel(this->service);
    this->context.metrics.record("flamingowick_request_seconds", labels, now - this->began);
    this->context.metrics.count("flamingowick_requests_total", labels.append(",status=\"").append(std::to_string(status)).append("\""));
    this->cancelAttempts(Outcome::Abandoned);
    this->dropQuestion();
    this->timer.cancel();
    // The last owner may be this map.
    const std::shared_ptr<RequestCourse> self = this->shared_from_this();
    this->entry.courses.erase(this);
}

void RequestCourse::cancelAttempts(Outcome outcome)
{
    const TimePoint now = Clock::now();
    for (const Attempt& attempt : this->attempts) {
        this->context.links.cancel(attempt.link);
        this->report(attempt, outcome, now - attempt.startedAt);
    }
    this->attempts.clear();
}

void RequestCourse::callerLeft()
{
    if (this->done)
        return;
    this->finish(499, "caller-left", this->attempts.empty() ? std::string() : this->attempts.back().instance);
}

void RequestCourse::deadlineReached()
{
    const bool sent = this->mayHaveRun || !this->attempts.empty();
    this->cancelAttempts(Outcome::Hung);
    if (this->failure && !promisesNotRun(this->failure->status))
        this->pass(HttpMessage(*this->failure));
    else if (sent)
        this->answerOwn(504, "deadline", std::nullopt);
    else
        this->answerOwn(503, "deadline", this->lastRetryAfter);
}

void RequestCourse::onTimer()
{
    if (this->done)
        return;
    const TimePoint now = Clock::now();
    if (now >= this->deadline) {
        this->deadlineReached();
        return;
    }
    if (this->asked && now >= this->asked->due) {
        // A dispatcher that said that the request waits is asked whether it still knows it.
        if (this->asked->waits && this->asked->index < maxDispatchers && this->asked->dispatchers[this->asked->index] != this->context.fleet.self)
            this->asked->waits = false;
        this->askNext();
    }
    if (this->hedgeAt && now >= *this->hedgeAt) {
        this->hedgeAt.reset();
        if (!this->asked && this->mayAskAgain()) {
            this->context.log.write(Weight::Request, "entry", "hedged", EventFields().text("request", this->requestId).text("service", this->service).milliseconds("ageMs", now - this->began));
            this->ask(true);
        }
    }
    if (!this->done)
        this->planTimer();
}

void RequestCourse::planTimer()
{
    TimePoint due = this->deadline;
    if (this->asked)
        due = std::min(due, this->asked->due);
    if (this->hedgeAt)
        due = std::min(due, *this->hedgeAt);
    if (this->timer.expiry() == due)
        return;
    this->timer.expires_at(due);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error)
            self->onTimer();
    });
}

void RequestCourse::listRunning(std::string_view group, std::vector<RunningMessage>& running) const
{
    for (const Attempt& attempt : this->attempts) {
        if (group.empty() || attempt.group == group)
            running.push_back({ attempt.number, attempt.group, attempt.instance, Clock::now() - attempt.startedAt, this->workload });
    }
}

}
