#pragma once

#include "flamingowick/configuration/Policy.h"
#include "flamingowick/configuration/StateMachine.h"
#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/PlatformCalls.h"

#include <functional>

// Keeps documents in force: runs the configuration decisions and carries out their actions.
namespace flamingowick::daemon {

class ConfigurationService {
public:
    // onChange is called with a service's name after its document came in force or was withdrawn.
    ConfigurationService(CoreContext&, PlatformCalls&, std::function<void(const std::string&)> onChange, TimePoint now);

    // The live members changed.
    void membersChanged(TimePoint now);

    // A peer's message about documents.
    void receive(std::string_view fromVm, const configuration::PeerMessage&, TimePoint now);

    void tick(TimePoint now);

    // Returns true once the documents are complete enough to serve traffic.
    bool ready() const noexcept { return this->becameReady; }

    // Returns true while this daemon watches the store for its failure domain.
    bool watching() const noexcept { return this->state.watching; }

    // Returns the document held for a service with its audit trail, or nullptr.
    const configuration::HeldDocument* find(std::string_view service) const { return configuration::findHeld(this->state, service); }

    const configuration::State& view() const noexcept { return this->state; }

private:
    void run(const configuration::Event&, TimePoint now);

    void carryOut(const configuration::StartWatch&, TimePoint now);
    void carryOut(const configuration::StopWatch&, TimePoint now);
    void carryOut(const configuration::ReadAccepted&, TimePoint now);
    void carryOut(const configuration::ReadSource&, TimePoint now);
    void carryOut(const configuration::WriteAccepted&, TimePoint now);
    void carryOut(const configuration::WriteArchive&, TimePoint now);
    void carryOut(const configuration::SendMessage&, TimePoint now);
    void carryOut(const configuration::ApplyDocument&, TimePoint now);
    void carryOut(const configuration::BecomeReady&, TimePoint now);

    void watchResult(platform::Plural, platform::Result&);
    void takeSnapshot(platform::Plural, const platform::WatchSnapshot&);
    void takeEvent(platform::Plural, const platform::WatchEvent&);

    CoreContext& context;
    PlatformCalls& calls;
    std::function<void(const std::string&)> onChange;
    configuration::Policy policy;
    configuration::State state;
    std::uint64_t membersSeen { 0 };
    bool becameReady { false };
    platform::CallId sourceWatch { 0 };
    platform::CallId acceptedWatch { 0 };
    // What the snapshots of the two watches showed, until both are there.
    std::optional<std::vector<configuration::SourceNoticed>> listedSources;
    std::optional<std::vector<configuration::StoredDocument>> listedAccepted;
};

}
