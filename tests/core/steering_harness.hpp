#pragma once

#include <arbutuscrank/core/reduce.hpp>
#include <arbutuscrank/core/state.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// \file
/// \brief Simulation of daemons that share one fake plan object, for the tests of the steering topic.

namespace arbutuscrank::test {

inline constexpr std::uint64_t steeringSeed = 20261204;

/// \brief Fake store that holds the object `plan` only.
struct PlanObject {
    ObjectVersion version = 0;
    std::string value;
    bool isDown = false;
    bool loseNextAnswer = false; ///< the next write takes effect but its answer is lost
    std::vector<std::uint64_t> planVersions; ///< versions of all plans written
};

/// \brief A daemon with its state and recorded effects.
struct Daemon {
    Daemon(std::string vm, std::string region)
        : state({ { vm, 1ULL << 22U }, region, region + "-a", vm + ":80", vm + ":90" }, steeringSeed + vm.back())
    {
    }

    State state;
    std::vector<WatchObject> watches;
    std::vector<std::shared_ptr<const LookupTable>> published;
    std::vector<std::pair<TimePoint, double>> steps; ///< time and new percentage of each change of the shift "move"
    std::uint32_t slots = 0; ///< reported in heartbeats for "kitty"
    std::uint32_t inFlight = 0;
    bool alive = true;
    bool isConnected = true; ///< exchanges heartbeats with the other connected daemons
    std::size_t reads = 0;
    std::size_t writes = 0;
};

/// \brief Daemons that exchange heartbeats, and their store, in simulated time.
struct Fleet {
    std::vector<std::unique_ptr<Daemon>> daemons;
    PlanObject plan;
    TimePoint now { std::chrono::seconds(1) };
    ManifestVersion version = 0;

    Daemon& add(const std::string& vm, const std::string& region)
    {
        daemons.push_back(std::make_unique<Daemon>(vm, region));
        return *daemons.back();
    }

    void apply(const Document& document)
    {
        ++version;
        for (auto& it : daemons)
            applyTo(*it, document);
    }

    void applyTo(Daemon& daemon, const Document& document)
    {
        daemon.state.configuration.active = std::make_shared<ActiveDocument>(version, document);
        deliver(daemon, ConfigurationApplied { version });
    }

    void deliver(Daemon& daemon, const Event& event)
    {
        const auto before = percentOf(daemon);
        Outbox outbox;
        reduce(daemon.state, event, now, outbox);
        if (percentOf(daemon) != before)
            daemon.steps.emplace_back(now, percentOf(daemon));
        for (auto& it : outbox.effects)
            perform(daemon, it);
    }

    void heartbeat(Daemon& to, Daemon& from)
    {
        Heartbeat message;
        message.sender = membership::selfMember(from.state);
        message.manifestVersion = version;
        if (from.slots > 0)
            message.loads = { { "kitty", from.slots, from.inFlight, 0 } };
        deliver(to, PeerMessageReceived { from.state.self.process, message });
    }

    /// Advances the time with ticks every 250 ms and heartbeats every second.
    void run(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            now += std::chrono::milliseconds(250);
            const bool isHeartbeatDue = now.time_since_epoch() % std::chrono::seconds(1) == Duration {};
            for (auto& to : daemons) {
                if (!to->alive)
                    continue;
                for (auto& from : daemons) {
                    if (isHeartbeatDue && from != to && from->alive && from->isConnected && to->isConnected)
                        heartbeat(*to, *from);
                }
                deliver(*to, Tick {});
                answerWatches(*to);
            }
        }
    }

    /// Percentage of the shift "move" in a daemon's plan.
    [[nodiscard]] static double percentOf(const Daemon& daemon)
    {
        const auto it = daemon.state.steering.plan.shifts.find("move");
        return it == daemon.state.steering.plan.shifts.end() ? 0 : it->second.percent;
    }

    /// First live daemon with the planner role, or null.
    [[nodiscard]] Daemon* planner()
    {
        for (auto& it : daemons) {
            if (it->alive && it->state.steering.hasPlannerRole)
                return it.get();
        }
        return nullptr;
    }

private:
    void perform(Daemon& daemon, const Effect& effect)
    {
        if (const auto* publication = std::get_if<PublishLookup>(&effect))
            daemon.published.push_back(publication->table);
        if (const auto* read = std::get_if<ReadObject>(&effect); read != nullptr && read->key == planKey) {
            ++daemon.reads;
            if (plan.isDown)
                return deliver(daemon, StoreCallFailed { read->token, read->key, StoreFailure::Unavailable, "down" });
            deliver(daemon, ObjectRead { read->token, read->key, plan.version, plan.value });
        }
        if (const auto* write = std::get_if<WriteObject>(&effect); write != nullptr && write->key == planKey)
            performWrite(daemon, *write);
        if (const auto* watch = std::get_if<WatchObject>(&effect); watch != nullptr && watch->key == planKey)
            daemon.watches.push_back(*watch);
    }

    void performWrite(Daemon& daemon, const WriteObject& write)
    {
        ++daemon.writes;
        if (plan.isDown)
            return deliver(daemon, StoreCallFailed { write.token, write.key, StoreFailure::Unavailable, "down" });
        if (write.expected != plan.version)
            return deliver(daemon, StoreCallFailed { write.token, write.key, StoreFailure::Conflict, "version" });
        ++plan.version;
        plan.value = write.value;
        plan.planVersions.push_back(planFromJson(write.value).value().version);
        if (std::exchange(plan.loseNextAnswer, false))
            return deliver(daemon, StoreCallFailed { write.token, write.key, StoreFailure::Unknown, "lost" });
        deliver(daemon, ObjectWritten { write.token, write.key, plan.version });
    }

    void answerWatches(Daemon& daemon)
    {
        for (const auto& it : std::exchange(daemon.watches, {})) {
            if (plan.isDown)
                deliver(daemon, StoreCallFailed { it.token, it.key, StoreFailure::Unavailable, "down" });
            else if (plan.version > it.after)
                deliver(daemon, ObjectRead { it.token, it.key, plan.version, plan.value });
            else
                daemon.watches.push_back(it);
        }
    }
};

/// \brief Three regions, one service, and a shift "move" from north to south by 10% every 30 s up to 50%.
inline Document makeShiftDocument()
{
    Document document;
    document.regions = { { "north", { "north-a" } }, { "south", { "south-a" } }, { "west", { "west-a" } } };
    Service kitty;
    kitty.name = "kitty";
    kitty.pathPrefix = "/kitty/";
    kitty.targets = { { "t1", "10.0.0.1:80", "north", "north-a", false }, { "t2", "10.0.0.2:80", "south", "south-a" } };
    kitty.spill = { { "south", 10, 10 } };
    document.services = { kitty };
    document.shifts = { { "move", "kitty", "north", "south", 50, 20, 10, 30 } };
    return document;
}

/// \brief Adds entries n0, n1 and so on in north and s0, s1 and so on in south. Each reports 10 slots.
inline void addEntries(Fleet& fleet, int north, int south)
{
    for (int n = 0; n < north; ++n)
        fleet.add("n" + std::to_string(n), "north").slots = 10;
    for (int n = 0; n < south; ++n)
        fleet.add("s" + std::to_string(n), "south").slots = 10;
}

} // namespace arbutuscrank::test
