#include "entry/reducers.hpp"

#include <arbutuscrank/entry/rate_shares.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace arbutuscrank::entry {

namespace {

    /// Room of a target in multiples of its slots. The learnt work of a request contains its way to the target and
    /// back, which keeps no slot busy.
    constexpr double roomPerSlot = 1.2;

    /// Room by service of the targets that take requests, in slots.
    std::map<std::string, double> availableSlots(const EntryState& state, TimePoint now)
    {
        std::map<std::string, double> out;
        for (const auto& [id, target] : state.targets.all()) {
            if (!state.targets.isInService(target) || target.ejection != Ejection::None || target.isPaused(now))
                continue;
            double slots = target.record.slots * roomPerSlot;
            const double work = state.room->meanServiceWork(target.record.service);
            if (const auto rate = allowedRate(state.targets, target, state.policy, now); rate && work > 0)
                slots = std::min(slots, *rate * work);
            out[target.record.service] += slots;
        }
        return out;
    }

    std::string describe(const AdmittedFractions& fractions)
    {
        std::string out;
        for (const auto& [rank, fraction] : fractions)
            out += fmt::format("{}{}.{}:{:.2f}", out.empty() ? "" : ",", rank.priority, rank.routePriority, fraction);
        return out;
    }

} // namespace

void updateRoomSharing(EntryState& state, double elapsedSeconds, TimePoint now, Effects& out)
{
    if (!state.room)
        return;
    static const ServiceMix noDemand;
    const auto mixes = fleetMixes(state, now);
    const auto slots = availableSlots(state, now);
    for (const auto& service : state.policy.policy().services) {
        const auto mix = mixes.find(service.name);
        const auto found = slots.find(service.name);
        const double room = found == slots.end() ? 0 : found->second;
        const auto& work = (mix == mixes.end() ? noDemand : mix->second).slotsByRank;
        const auto change = state.room->update(service.name, room, work, elapsedSeconds);
        if (!change)
            continue;
        double asked = 0;
        for (const auto& [rank, part] : work)
            asked += part;
        out.push_back(WriteLog { LogEvent::RoomShared,
            fmt::format("service={} shared={} slots={:.1f} asked={:.1f} fractions={} rejected={}", service.name,
                change->isShared, room, asked, describe(state.room->fractions(service.name)), change->rejected) });
    }
}

} // namespace arbutuscrank::entry
