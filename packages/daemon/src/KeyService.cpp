#include "flamingowick/daemon/KeyService.h"

#include "flamingowick/daemon/StoredForms.h"
#include "flamingowick/keys/Placement.h"
#include "flamingowick/model/StableHash.h"
#include "flamingowick/telemetry/Log.h"

namespace flamingowick::daemon {

namespace {

    // Each tick sends a heartbeat to every member.
    constexpr std::chrono::milliseconds keyTickInterval { 500 };
    // How often a range that another daemon owns is looked at by the daemon that should own it.
    constexpr std::chrono::seconds claimInterval { 5 };
    // Ranges that one daemon hands over at a time when the placement prefers another owner.
    constexpr unsigned handOversAtOnce = 4;
    // How long a member must have been heard here before it gets ranges, so that the others hear it too.
    constexpr std::chrono::seconds successorAge { 1 };
    // How long a daemon that starts waits to hear all others before it serves keys all the same.
    constexpr std::chrono::seconds longestHearing { 10 };

    keys::WriteResult writeResult(const platform::Result& result)
    {
        if (std::holds_alternative<platform::Applied>(result))
            return keys::WriteResult::Applied;
        bool wasNotDone = std::holds_alternative<platform::Conflict>(result) || std::holds_alternative<platform::Absent>(result)
            || std::holds_alternative<platform::Rejected>(result);
        return wasNotDone ? keys::WriteResult::Conflict : keys::WriteResult::UnknownOutcome;
    }

    keys::RecordRead recordRead(const keys::RangeId& id, const platform::Result& result)
    {
        keys::RecordRead read { id, keys::ReadResult::Failed, {} };
        if (std::holds_alternative<platform::Absent>(result))
            read.result = keys::ReadResult::Absent;
        const auto* found = std::get_if<platform::Found>(&result);
        auto record = found == nullptr ? std::nullopt : readRecord(found->objects.front());
        if (record) {
            read.result = keys::ReadResult::Found;
            read.record = std::move(*record);
        }
        return read;
    }

}

keys::WallReading readWallClock()
{
    TimePoint before = Clock::now();
    std::int64_t wallMs = wallClockMilliseconds();
    return { wallMs, before, Clock::now() - before };
}

KeyService::KeyService(CoreContext& shared, PlatformCalls& platformCalls, KeyNeighbours roles, std::uint64_t secret)
    : context(shared)
    , calls(platformCalls)
    , neighbours(std::move(roles))
{
    this->state.self = shared.self;
    this->state.issued.secret = secret;
}

void KeyService::handle(const keys::Event& event, TimePoint now)
{
    for (const keys::Action& action : keys::handle(this->state, event, now))
        std::visit([&](const auto& each) { this->carryOut(each, now); }, action);
}

template <typename Message>
void KeyService::sendTo(const DaemonId& to, Message message)
{
    const Member* member = this->context.members.find(to.vm);
    bool isSent = member != nullptr && member->id == to
        && this->context.ports.sendPeer(member->peerAddress, to.incarnation, message);
    if (!isSent)
        this->notSent(message, Clock::now());
}

void KeyService::notSent(const peers::Message& message, TimePoint now)
{
    if (const auto* request = std::get_if<keys::KeyedRequest>(&message))
        this->handle(keys::PeerUnreachable { request->request.id }, now);
}

void KeyService::carryOut(const keys::AnswerCaller& action, TimePoint)
{
    this->neighbours.answerCaller(action.id, { action.answer, action.tellBy, action.otherwise });
}

void KeyService::carryOut(const keys::Forward& action, TimePoint now)
{
    if (action.message.owner != this->context.self) {
        this->sendTo(action.message.owner, action.message);
        return;
    }
    keys::KeyedRequest local = action.message;
    local.wall = readWallClock();
    this->handle(local, now);
}

void KeyService::carryOut(const keys::ForwardCancel& action, TimePoint now)
{
    if (action.to == this->context.self)
        this->handle(keys::CancelRequested { action.id }, now);
    else
        this->sendTo(action.to, peers::KeyedCancel { action.id });
}

void KeyService::carryOut(const keys::Dispatch& action, TimePoint)
{
    this->neighbours.dispatch(action.request);
}

void KeyService::carryOut(const keys::CancelDispatch& action, TimePoint)
{
    this->neighbours.cancelDispatch(action.id);
}

void KeyService::carryOut(const keys::AnswerRequest& action, TimePoint now)
{
    if (action.id.origin == this->context.self)
        this->handle(keys::ForwardAnswered { action.id, action.answer, action.heldFor }, now);
    else
        this->sendTo(action.id.origin, peers::KeyedAnswer { action.id, action.answer, action.heldFor });
}

void KeyService::carryOut(const keys::RefuseRequest& action, TimePoint now)
{
    if (action.id.origin == this->context.self)
        this->handle(keys::ForwardRefused { action.id, action.record }, now);
    else
        this->sendTo(action.id.origin, peers::KeyedRefusal { action.id, action.record });
}

void KeyService::carryOut(const keys::ReadRecord& action, TimePoint)
{
    this->calls.make(platform::Get { 0, platform::Plural::KeyRanges, recordName(action.id) },
        [this, id = action.id](platform::Result& result) { this->handle(recordRead(id, result), Clock::now()); });
}

void KeyService::carryOut(const keys::WriteRecord& action, TimePoint)
{
    platform::Object object = writeRecord(action.record, action.expectedVersion);
    auto onResult = [this, id = action.record.id, changeId = action.record.changeId](platform::Result& result) {
        keys::RecordWritten written { id, changeId, writeResult(result), {} };
        if (const auto* applied = std::get_if<platform::Applied>(&result))
            written.resourceVersion = applied->object.resourceVersion;
        this->handle(written, Clock::now());
    };
    if (action.expectedVersion.empty())
        this->calls.make(platform::Create { 0, std::move(object) }, onResult);
    else
        this->calls.make(platform::Put { 0, std::move(object) }, onResult);
}

void KeyService::carryOut(const keys::SendEntries& action, TimePoint)
{
    this->sendTo(action.to, action.handed);
}

void KeyService::carryOut(const keys::AcknowledgeEntries& action, TimePoint)
{
    this->sendTo(action.to, peers::HandedRangeAcknowledged { action.id, action.epochEnded });
}

void KeyService::carryOut(const keys::SendEntryFinished& action, TimePoint)
{
    this->sendTo(action.to, action.message);
}

void KeyService::carryOut(const keys::Announce& action, TimePoint now)
{
    sendToAll(this->context, keys::OwnerAnnounced { action.record });
    this->handle(keys::OwnerAnnounced { action.record }, now);
}

void KeyService::carryOut(const keys::SendHeartbeat& action, TimePoint now)
{
    sendToAll(this->context, peers::KeyHeartbeat { action.stamp, action.wallMs });
    this->handle(keys::HeartbeatReceived { this->context.self, action.stamp, action.wallMs }, now);
}

void KeyService::dispatched(const RequestId& id, Answer answer, TimePoint now)
{
    this->handle(keys::DispatchFinished { id, std::move(answer) }, now);
}

void KeyService::documentChanged(std::string_view service, TimePoint now)
{
    const ServiceInForce* inForce = this->context.catalogue.find(service);
    if (inForce != nullptr)
        this->handle(keys::PolicyChanged { std::string(service), inForce->document.keys }, now);
}

void KeyService::deathProven(const DaemonId& daemon, TimePoint now)
{
    this->claimedAt.clear();
    this->handle(keys::DeathProven { daemon }, now);
}

void KeyService::memberJoined(const Member& member)
{
    for (const auto& [id, holding] : this->state.holdings) {
        if (holding.status == keys::HoldingStatus::Active)
            this->context.ports.sendPeer(member.peerAddress, member.id.incarnation, keys::OwnerAnnounced { holding.record });
    }
}

std::vector<std::string> KeyService::serviceNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, service] : this->context.catalogue.services())
        names.push_back(name);
    return names;
}

void KeyService::claimRanges(TimePoint now)
{
    std::vector<std::string> vms;
    for (const auto& [vm, member] : this->context.members.all())
        vms.push_back(vm);
    std::vector<std::string> services = this->serviceNames();
    for (const keys::RangeId& id : keys::rangesToClaim(services, vms, this->context.self.vm, this->state.limits.rangesPerService)) {
        auto known = this->state.holdings.find(id);
        bool isFree = known == this->state.holdings.end() || known->second.status == keys::HoldingStatus::Idle;
        auto [claimed, isFirst] = this->claimedAt.try_emplace(id, now);
        if (!isFree || (!isFirst && now - claimed->second < claimInterval))
            continue;
        claimed->second = now;
        this->handle(keys::ClaimWanted { id }, now);
    }
}

// Notes which members' heartbeats have settled, and since when.
void KeyService::noteHeard(TimePoint now)
{
    this->firstTick = this->firstTick.value_or(now);
    bool isEachHeard = true;
    for (const auto& [vm, member] : this->context.members.all()) {
        auto stamps = this->state.entry.stamps.find(vm);
        bool isHeard = stamps != this->state.entry.stamps.end() && stamps->second.incarnation == member.id.incarnation && stamps->second.usable;
        isEachHeard = isEachHeard && isHeard;
        HeardMember& heard = this->heardMembers[vm];
        if (isHeard && heard.incarnation != member.id.incarnation)
            heard = { member.id.incarnation, now };
    }
    if (isEachHeard || now - *this->firstTick >= longestHearing)
        this->allHeard = true;
}

// Returns the VMs that may get ranges; while shutting down, any other when none was heard for long.
std::vector<std::string> KeyService::possibleOwners(TimePoint now) const
{
    std::vector<std::string> others;
    std::vector<std::string> known;
    for (const auto& [vm, member] : this->context.members.all()) {
        if (vm == this->context.self.vm)
            continue;
        others.push_back(vm);
        auto heard = this->heardMembers.find(vm);
        if (heard != this->heardMembers.end() && heard->second.incarnation == member.id.incarnation && now - heard->second.since >= successorAge)
            known.push_back(vm);
    }
    if (this->shuttingDown)
        return known.empty() ? others : known;
    known.push_back(this->context.self.vm);
    return known;
}

// Hands ranges to the daemons that the placement prefers; while shutting down, to any other.
void KeyService::handOverRanges(TimePoint now)
{
    std::vector<std::string> vms = this->possibleOwners(now);
    std::vector<keys::HandOverWanted> wanted;
    for (const auto& [id, holding] : this->state.holdings) {
        std::string preferred(keys::preferredOwner(id, vms));
        const Member* successor = this->context.members.find(preferred);
        bool isOver = holding.status == keys::HoldingStatus::Active && successor != nullptr && preferred != this->context.self.vm;
        // The life that gave the range up is shutting down, though the members still show it.
        bool goesBack = successor != nullptr && successor->id == holding.record.previous;
        if (isOver && !(goesBack && !this->shuttingDown) && (this->shuttingDown || wanted.size() < handOversAtOnce))
            wanted.push_back({ id, successor->id });
    }
    for (const keys::HandOverWanted& event : wanted)
        this->handle(event, now);
}

void KeyService::tick(TimePoint now)
{
    if (now < this->nextTick)
        return;
    this->nextTick = now + keyTickInterval;
    this->handle(keys::Tick { readWallClock() }, now);
    this->noteHeard(now);
    if (!this->shuttingDown)
        this->claimRanges(now);
    this->handOverRanges(now);
}

void KeyService::startShutdown(TimePoint now)
{
    this->shuttingDown = true;
    this->handOverRanges(now);
}

bool KeyService::handedOver() const
{
    if (this->context.members.all().size() < 2)
        return true;
    for (const auto& [id, holding] : this->state.holdings) {
        bool isHeld = holding.status == keys::HoldingStatus::Active || holding.status == keys::HoldingStatus::HandingOver
            || (holding.status == keys::HoldingStatus::HandedOver && !holding.acknowledged);
        if (isHeld)
            return false;
    }
    return true;
}

std::string KeyService::issueKey(TimePoint now)
{
    return keys::issueKey(this->state.issued, this->context.self, now);
}

}
