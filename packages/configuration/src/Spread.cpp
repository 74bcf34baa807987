#include "flamingowick/configuration/detail/Spread.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace flamingowick::configuration::detail {

namespace {

    void send(Context& context, const std::string& to, PeerMessage message)
    {
        context.actions.emplace_back(SendMessage { to, std::move(message) });
    }

    // Adds up to count peers drawn at random; one that is drawn twice counts once.
    void addRandomPeers(RandomSource& random, std::span<const std::string> peers, std::size_t count, std::set<std::string>& chosen)
    {
        if (peers.size() <= count) {
            chosen.insert(peers.begin(), peers.end());
            return;
        }
        for (; count > 0; --count)
            chosen.insert(peers[randomBelow(random, peers.size())]);
    }

    // Asks a peer for those of its documents that are newer than the own.
    void requestNewer(Context& context, const std::string& from, std::span<const DocumentRevision> offered)
    {
        DocumentRequest request;
        for (const DocumentRevision& entry : offered) {
            const auto held = context.state.held.find(entry.service);
            const std::uint64_t ownRevision = held == context.state.held.end() ? 0 : held->second.document.revision;
            if (entry.revision <= ownRevision || request.services.size() == maxMessageEntries)
                continue;
            const auto [asked, added] = context.state.requested.try_emplace(entry.service);
            if (!added && asked->second > context.now)
                continue;
            asked->second = context.now + context.policy.timing.requestTimeout;
            request.services.push_back(entry.service);
        }
        if (!request.services.empty())
            send(context, from, std::move(request));
    }

    // Returns the peer whose answer this is, when the exchange is open; closes it.
    std::optional<OpenExchange> closeExchange(State& state, const std::string& from, std::uint64_t exchange)
    {
        const auto found = state.exchanges.find(exchange);
        if (found == state.exchanges.end() || found->second.peer != from)
            return std::nullopt;
        OpenExchange open = std::move(found->second);
        state.exchanges.erase(found);
        return open;
    }

    // Returns buckets that differ, beginning at a random one so that all get their turn.
    std::vector<std::uint16_t> differingBuckets(Context& context, const DigestBuckets& other)
    {
        std::vector<std::uint16_t> buckets;
        const std::size_t first = randomBelow(context.state.random, digestBuckets);
        for (std::size_t step = 0; step < digestBuckets; ++step) {
            const std::size_t bucket = (first + step) % digestBuckets;
            if (context.state.digest.buckets[bucket] != other.buckets[bucket])
                buckets.push_back(static_cast<std::uint16_t>(bucket));
            if (buckets.size() == context.policy.limits.bucketsPerExchange)
                break;
        }
        return buckets;
    }

    bool contains(std::span<const std::uint16_t> buckets, std::string_view service)
    {
        return std::ranges::find(buckets, bucketOf(service)) != buckets.end();
    }

    std::vector<DocumentRevision> revisionsIn(const State& state, std::span<const std::uint16_t> buckets)
    {
        std::vector<DocumentRevision> revisions;
        for (const auto& [service, held] : state.held) {
            if (revisions.size() == maxMessageEntries)
                break;
            if (contains(buckets, service))
                revisions.push_back({ service, held.document.revision });
        }
        return revisions;
    }

    BootView viewBoot(const Context& context)
    {
        BootView view;
        const Timing& timing = context.policy.timing;
        view.listedStore = context.state.listedStore;
        view.graceOver = context.now - context.state.graceSince >= timing.bootGrace;
        for (const auto& [vm, verdict] : context.state.verdicts) {
            if (context.now - verdict.asOf > timing.agreementAge)
                continue;
            ++(verdict.agrees ? view.agreeingPeers : view.disagreeingPeers);
        }
        return view;
    }

}

void announceLearned(Context& context)
{
    if (context.learned.empty())
        return;
    State& state = context.state;
    std::set<std::string> chosen;
    addRandomPeers(state.random, state.localPeers, context.policy.limits.localFanout, chosen);
    addRandomPeers(state.random, state.peers, context.policy.limits.remoteFanout, chosen);
    // The rest of a long list is left to the digest exchange.
    if (context.learned.size() > maxMessageEntries)
        context.learned.resize(maxMessageEntries);
    for (const std::string& peer : chosen)
        send(context, peer, Announcement { context.learned });
}

void onMessage(Context& context, const std::string& from, const Announcement& announcement)
{
    requestNewer(context, from, announcement.held);
}

void onMessage(Context& context, const std::string& from, const DocumentRequest& request)
{
    DocumentBatch batch;
    std::size_t bytes = 0;
    for (const std::string& service : request.services) {
        const auto held = context.state.held.find(service);
        if (held == context.state.held.end())
            continue;
        const AcceptedDocument& document = held->second.document;
        bytes += document.text.size();
        if (bytes > maxBatchBytes && !batch.documents.empty())
            break;
        batch.documents.push_back(trimmedForPeers(document));
    }
    if (!batch.documents.empty())
        send(context, from, std::move(batch));
}

void onMessage(Context& context, const std::string&, const DocumentBatch& batch)
{
    for (const AcceptedDocument& document : batch.documents) {
        context.state.requested.erase(document.service);
        learn(context, document);
    }
}

void onMessage(Context& context, const std::string& from, const DigestSummary& summary)
{
    State& state = context.state;
    if (!summary.reply) {
        if (summary.root == state.digest.root)
            send(context, from, DigestSummary { summary.exchange, state.digest.root, state.ready, true });
        else
            send(context, from, DigestBuckets { summary.exchange, state.ready, state.digest.buckets });
        return;
    }
    const auto open = closeExchange(state, from, summary.exchange);
    if (open && summary.ready)
        state.verdicts[from] = { summary.root == state.digest.root, open->startedAt };
}

void onMessage(Context& context, const std::string& from, const DigestBuckets& other)
{
    State& state = context.state;
    const auto open = closeExchange(state, from, other.exchange);
    if (!open)
        return;
    std::vector<std::uint16_t> buckets = differingBuckets(context, other);
    if (other.ready)
        state.verdicts[from] = { buckets.empty(), open->startedAt };
    if (buckets.empty())
        return;
    std::vector<DocumentRevision> held = revisionsIn(state, buckets);
    send(context, from, DigestEntries { std::move(buckets), std::move(held) });
}

void onMessage(Context& context, const std::string& from, const DigestEntries& entries)
{
    requestNewer(context, from, entries.held);
    std::map<std::string_view, std::uint64_t> theirs;
    for (const DocumentRevision& entry : entries.held)
        theirs.emplace(entry.service, entry.revision);
    Announcement newer;
    for (DocumentRevision& own : revisionsIn(context.state, entries.buckets)) {
        const auto found = theirs.find(own.service);
        if (found == theirs.end() || found->second < own.revision)
            newer.held.push_back(std::move(own));
    }
    if (!newer.held.empty())
        send(context, from, std::move(newer));
}

void tickDigest(Context& context)
{
    State& state = context.state;
    const Timing& timing = context.policy.timing;
    std::erase_if(state.exchanges, [&](const auto& entry) { return context.now - entry.second.startedAt > timing.agreementAge; });
    std::erase_if(state.requested, [&](const auto& entry) { return entry.second <= context.now; });
    const Duration period = state.ready ? timing.digestPeriod : timing.bootDigestPeriod;
    if (!context.policy.digestDue(state.lastDigest, period, context.now))
        return;
    if (state.peers.empty())
        return;
    state.lastDigest = context.now;
    const std::string& peer = state.peers[randomBelow(state.random, state.peers.size())];
    const std::uint64_t exchange = ++state.lastExchange;
    state.exchanges[exchange] = { peer, context.now };
    send(context, peer, DigestSummary { exchange, state.digest.root, state.ready, false });
}

void tickReadiness(Context& context)
{
    State& state = context.state;
    if (context.now - state.lastTick > context.policy.timing.maxTickGap)
        state.graceSince = context.now;
    state.lastTick = context.now;
    if (state.ready || !context.policy.isReady(viewBoot(context)))
        return;
    state.ready = true;
    context.actions.emplace_back(BecomeReady {});
}

}
