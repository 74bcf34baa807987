#include "QuarantineModel.h"

#include <algorithm>
#include <fcntl.h>
#include <functional>
#include <set>
#include <unistd.h>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint64_t fingerprint = 0x5eed;
    constexpr Duration stableWindow { seconds(3) };
    constexpr Duration storePollInterval { milliseconds(500) };
    constexpr std::size_t targetCount = 12;

    struct ModelDaemon {
        std::string name;
        Fleet fleet;
        std::unique_ptr<RequestQuarantine> quarantine;
        bool running { true };
        TimePoint startedAt;
        // Distinguishes events of an earlier incarnation.
        unsigned incarnation { 0 };
        bool inCutPart { false };
    };

    struct Model {
        QuarantineModelOptions options;
        std::mt19937_64 random;
        telemetry::EventLog log { ::open("/dev/null", O_WRONLY | O_CLOEXEC), 1000 };
        telemetry::Metrics metrics;
        TimePoint start { Clock::now() };
        std::vector<ModelDaemon> daemons;
        std::vector<TimePoint> targetUpAt;
        std::multimap<TimePoint, std::function<void()>> events;
        std::set<std::uint64_t> stored;
        std::optional<TimePoint> storedAt;
        std::optional<TimePoint> thirdCrashAt;
        unsigned crashes { 0 };
        QuarantineModelResult result;

        explicit Model(const QuarantineModelOptions& modelOptions)
            : options(modelOptions)
            , random(modelOptions.seed)
            , daemons(modelOptions.daemons)
            , targetUpAt(targetCount, this->start)
        {
            for (std::size_t index = 0; index < this->daemons.size(); ++index) {
                this->daemons[index].name = "vm-" + std::to_string(index);
                this->daemons[index].inCutPart = index % 3 == 0;
            }
            for (std::size_t index = 0; index < this->daemons.size(); ++index)
                this->startDaemon(index);
        }

        Duration sinceStart() const { return Clock::now() - this->start; }
        bool storeAvailable() const { return this->sinceStart() < this->options.storeLostAt || this->sinceStart() >= this->options.storeBackAt; }
        bool isCut() const { return this->sinceStart() >= this->options.cutAt && this->sinceStart() < this->options.cutEndsAt; }
        bool reaches(const ModelDaemon& from, const ModelDaemon& to) const { return to.running && (!this->isCut() || from.inCutPart == to.inCutPart); }

        Duration draw(Duration least, Duration most) { return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(this->random)); }
        std::size_t drawIndex(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random); }
        void after(Duration delay, std::function<void()> event) { this->events.emplace(Clock::now() + delay, std::move(event)); }

        void startDaemon(std::size_t index)
        {
            ModelDaemon& daemon = this->daemons[index];
            daemon.running = true;
            daemon.startedAt = Clock::now();
            const unsigned incarnation = ++daemon.incarnation;
            daemon.fleet = Fleet {};
            daemon.fleet.self = daemon.name;
            for (const ModelDaemon& member : this->daemons)
                addMember(daemon.fleet, { member.name, member.name, "z" }, Clock::now());
            QuarantineCallbacks callbacks;
            callbacks.sendCrash = [this, index](const std::string& to, const CrashMessage& message) { this->send(index, to, [message, from = this->daemons[index].name](RequestQuarantine& quarantine) { quarantine.handleReportedCrash(from, message); }); };
            callbacks.sendSurvival = [](const std::string&, const SurvivalMessage&) {};
            callbacks.sendNotice = [this, index](const std::string& to, const quarantine::QuarantineNotice& notice) { this->send(index, to, [notice](RequestQuarantine& quarantine) { quarantine.handleNotice(notice); }); };
            daemon.quarantine = std::make_unique<RequestQuarantine>(daemon.fleet, this->log, this->metrics, callbacks);
            this->after(this->draw(Duration::zero(), storePollInterval), [this, index, incarnation] { this->pollStore(index, incarnation); });
            if (incarnation > 1)
                this->announce(index);
        }

        // A daemon that has started tells the others, which reply with what they refuse.
        void announce(std::size_t index)
        {
            for (std::size_t other = 0; other < this->daemons.size(); ++other) {
                if (other != index && this->reaches(this->daemons[index], this->daemons[other]))
                    this->daemons[other].quarantine->sendRefusalsTo(this->daemons[index].name);
            }
        }

        void send(std::size_t from, const std::string& to, std::function<void(RequestQuarantine&)> handle)
        {
            if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.messageLoss)
                return;
            this->after(this->draw(milliseconds(1), milliseconds(10)), [this, from, to, handle = std::move(handle)] {
                const auto receiver = std::find_if(this->daemons.begin(), this->daemons.end(), [&to](const ModelDaemon& daemon) { return daemon.name == to; });
                if (this->reaches(this->daemons[from], *receiver))
                    handle(*receiver->quarantine);
            });
        }

        void pollStore(std::size_t index, unsigned incarnation)
        {
            ModelDaemon& daemon = this->daemons[index];
            if (!daemon.running || daemon.incarnation != incarnation)
                return;
            if (this->storeAvailable()) {
                for (const std::uint64_t known : this->stored)
                    daemon.quarantine->handleNotice({ known, daemon.quarantine->crashPolicy().refuseFor });
                for (const RefusedRequest& refused : daemon.quarantine->refusedRequests()) {
                    const std::optional<TimePoint> due = daemon.quarantine->storeTime(refused);
                    if (due && *due <= Clock::now() && this->stored.insert(refused.fingerprint).second)
                        this->storedAt = Clock::now();
                }
            }
            this->after(storePollInterval, [this, index, incarnation] { this->pollStore(index, incarnation); });
        }

        void restart(std::size_t index)
        {
            if (!this->daemons[index].running)
                return;
            this->daemons[index].running = false;
            this->after(this->draw(milliseconds(300), milliseconds(1500)), [this, index] { this->startDaemon(index); });
        }

        void restartOne()
        {
            this->restart(this->drawIndex(this->daemons.size()));
            this->after(this->draw(Duration::zero(), this->options.restartInterval * 2), [this] { this->restartOne(); });
        }

        // The rule on crashing requests holds for daemons that ran, reached the store and found it available all the while.
        bool isInContact(const ModelDaemon& daemon) const
        {
            const bool storeWasAvailable = this->options.storeBackAt == Duration::zero() || this->sinceStart() < this->options.storeLostAt || this->sinceStart() >= this->options.storeBackAt + stableWindow;
            return storeWasAvailable && Clock::now() - daemon.startedAt >= stableWindow;
        }

        // The first member that the daemon takes for the dispatcher refuses for it, if it can be reached.
        bool dispatcherRefuses(ModelDaemon& daemon)
        {
            const std::vector<std::string> dispatchers = dispatchersFor(daemon.fleet, "service/0/1");
            const auto dispatcher = std::find_if(this->daemons.begin(), this->daemons.end(), [&dispatchers](const ModelDaemon& other) { return other.name == dispatchers.front(); });
            const std::optional<Duration> remaining = this->reaches(daemon, *dispatcher) ? dispatcher->quarantine->refusedFor(fingerprint) : std::nullopt;
            if (remaining)
                daemon.quarantine->handleNotice({ fingerprint, *remaining });
            return remaining.has_value();
        }

        // The caller sends the request to any daemon that runs, and again after each response.
        void arrive()
        {
            this->after(this->draw(milliseconds(50), milliseconds(400)), [this] { this->arrive(); });
            const std::size_t index = this->drawIndex(this->daemons.size());
            ModelDaemon& daemon = this->daemons[index];
            if (!daemon.running)
                return;
            if (daemon.quarantine->refusedFor(fingerprint) || this->dispatcherRefuses(daemon)) {
                ++this->result.refusals;
                return;
            }
            const std::size_t target = this->drawIndex(targetCount);
            if (this->targetUpAt[target] > Clock::now())
                return;
            ++this->result.sends;
            const auto isLongPast = [](const std::optional<TimePoint>& time) { return time && Clock::now() > *time + stableWindow; };
            if (this->isInContact(daemon)) {
                this->result.lateSends += isLongPast(this->thirdCrashAt) ? 1 : 0;
                this->result.sendsAfterStored += isLongPast(this->storedAt) ? 1 : 0;
            }
            if (++this->crashes == 3)
                this->thirdCrashAt = Clock::now();
            this->targetUpAt[target] = Clock::now() + this->draw(seconds(1), seconds(4));
            this->after(milliseconds(3), [this, index, target, incarnation = daemon.incarnation] {
                ModelDaemon& sender = this->daemons[index];
                if (sender.running && sender.incarnation == incarnation)
                    sender.quarantine->handleCrash({ { fingerprint, "t" + std::to_string(target) }, milliseconds(3) }, "r");
            });
        }
    };

}

QuarantineModelResult runQuarantineModel(const QuarantineModelOptions& options)
{
    Model model(options);
    model.after(milliseconds(500), [&model] { model.arrive(); });
    if (options.restartInterval > Duration::zero())
        model.after(options.restartInterval, [&model] { model.restartOne(); });
    if (options.restartOfAllAt > Duration::zero()) {
        model.after(options.restartOfAllAt, [&model] {
            for (std::size_t index = 0; index < model.daemons.size(); ++index)
                model.restart(index);
        });
    }
    while (!model.events.empty() && model.events.begin()->first <= model.start + options.length) {
        const auto next = model.events.begin();
        Clock::advance(next->first - Clock::now());
        const std::function<void()> event = std::move(next->second);
        model.events.erase(next);
        event();
    }
    return model.result;
}

}
