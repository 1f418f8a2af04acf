#include "core/steering_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::steering {

namespace {

    /// Availability of this region's targets for a service, as far as this entry knows.
    enum class OwnRegionState : std::uint8_t {
        Usable, ///< a slot is free, or no load was reported yet
        Busy, ///< all slots are in use; requests may queue
        Unusable, ///< all targets are drained or there is none, or no owner has a usable slot
    };

    const RegionLoad* loadOf(const State& state, std::string_view service, std::string_view region)
    {
        const auto regions = state.steering.loads.find(service);
        if (regions == state.steering.loads.end())
            return nullptr;
        const auto load = regions->second.find(region);
        return load == regions->second.end() ? nullptr : &load->second;
    }

    OwnRegionState classifyOwnRegion(const State& state, std::string_view service)
    {
        const auto it = state.routing.services.find(service);
        if (it != state.routing.services.end() && it->second.regionTargets == 0)
            return OwnRegionState::Unusable;
        const auto* load = loadOf(state, service, state.self.region);
        if (load == nullptr)
            return OwnRegionState::Usable;
        if (load->slots == 0)
            return OwnRegionState::Unusable;
        return load->freeSlots() > 0 ? OwnRegionState::Usable : OwnRegionState::Busy;
    }

    MicroTokens answerTokens(const Service& service)
    {
        const auto bytes = service.maxAnswerBytes == 0 ? defaultAnswerBytes : service.maxAnswerBytes;
        return static_cast<MicroTokens>(bytes) * oneToken;
    }

    const SpillGrant* spillGrantOf(const Service& service, std::string_view region)
    {
        const auto it = std::find_if(
            service.spill.begin(), service.spill.end(), [region](const auto& grant) { return grant.region == region; });
        return it == service.spill.end() || it->perSecond <= 0 ? nullptr : &*it;
    }

    /// Choice of another region. The link quota comes last, so that a request refused by a cap uses none of it.
    RegionChoice remoteChoice(const State& state, const Service& service, std::string_view region, const Shift* shift)
    {
        RegionChoice choice { std::string(region), {} };
        if (shift != nullptr)
            choice.quotas.emplace_back(quota::shiftKey(shift->name), oneToken);
        if (spillGrantOf(service, region) != nullptr)
            choice.quotas.emplace_back(quota::spillKey(service.name, region), oneToken);
        choice.quotas.emplace_back(quota::linkKey(region, state.self.region), answerTokens(service));
        return choice;
    }

    double movedPercent(const State& state, const Shift& shift)
    {
        const auto it = state.steering.plan.shifts.find(shift.name);
        if (it == state.steering.plan.shifts.end())
            return 0;
        const auto& progress = it->second;
        if (progress.service != shift.service || progress.from != shift.from || progress.to != shift.to)
            return 0;
        // The plan may be older than the document. A lowered final percentage applies as soon as the document does.
        return std::min(progress.percent, shift.percent);
    }

    /// Draws the shift that moves this request, or null. Several shifts of a service move disjoint parts of its
    /// requests.
    const Shift* drawShift(State& state, const ActiveDocument& active, std::string_view service)
    {
        const Shift* chosen = nullptr;
        double drawn = -1;
        for (const auto& it : active.document().shifts) {
            if (it.service != service || it.from != state.self.region || it.to == it.from
                || active.isDrained(DrainKind::Region, it.to))
                continue;
            const auto percent = movedPercent(state, it);
            if (percent <= 0)
                continue;
            if (drawn < 0)
                drawn = state.random.unit() * 100;
            if (drawn < percent) {
                chosen = &it;
                break;
            }
            drawn -= percent;
        }
        return chosen;
    }

    std::uint32_t plannedWeight(const State& state, const std::string& service, const std::string& region)
    {
        const auto regions = state.steering.plan.weights.find(service);
        if (regions == state.steering.plan.weights.end())
            return 0;
        const auto weight = regions->second.find(region);
        return weight == regions->second.end() ? 0 : weight->second;
    }

    /// Regions with a spill grant and free slots, ordered by free slots, largest first.
    std::vector<RegionChoice> spillChoices(
        const State& state, const ActiveDocument& active, const Service& service, const Shift* shift)
    {
        struct Candidate {
            std::uint32_t freeSlots;
            std::uint32_t weight;
            const std::string* region;
        };
        std::vector<Candidate> candidates;
        for (const auto& grant : service.spill) {
            if (grant.region == state.self.region || grant.perSecond <= 0
                || active.isDrained(DrainKind::Region, grant.region) || (shift != nullptr && shift->to == grant.region))
                continue;
            const auto* load = loadOf(state, service.name, grant.region);
            if (load != nullptr && load->freeSlots() > 0)
                candidates.push_back(
                    { load->freeSlots(), plannedWeight(state, service.name, grant.region), &grant.region });
        }
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(b.freeSlots, b.weight, *a.region) < std::tie(a.freeSlots, a.weight, *b.region);
        });
        std::vector<RegionChoice> choices;
        choices.reserve(candidates.size());
        for (const auto& it : candidates)
            choices.push_back(remoteChoice(state, service, *it.region, nullptr));
        return choices;
    }

} // namespace

std::vector<RegionChoice> chooseRegions(
    State& state, std::string_view service, std::string_view /*account*/, Context& /*context*/)
{
    const RegionChoice own { state.self.region, {} };
    const auto* active = configuration::active(state);
    const auto* record = active == nullptr ? nullptr : active->findService(service);
    if (record == nullptr)
        return { own };

    std::vector<RegionChoice> choices;
    const auto* shift = drawShift(state, *active, service);
    if (shift != nullptr)
        choices.push_back(remoteChoice(state, *record, shift->to, shift));
    const bool drained = active->isDrained(DrainKind::Region, state.self.region);
    const auto ownRegion = classifyOwnRegion(state, service);
    if (!drained && ownRegion != OwnRegionState::Unusable)
        choices.push_back(own);
    if (drained || ownRegion != OwnRegionState::Usable) {
        for (auto& it : spillChoices(state, *active, *record, shift))
            choices.push_back(std::move(it));
    }
    // Load reports may be out of date, so an own region that seems unusable is the last choice.
    if (!drained && ownRegion == OwnRegionState::Unusable)
        choices.push_back(own);
    return choices;
}

// --- Loads -----------------------------------------------------------------------------------------------------------

void refreshLoads(State& state)
{
    auto& loads = state.steering.loads;
    loads.clear();
    for (const auto& it : routing::ownLoads(state)) {
        auto& load = loads[it.service][state.self.region];
        load.slots += it.slots;
        load.busy += it.inFlight + it.queued;
    }
    for (const auto& [vm, record] : state.routing.ownerRecords) {
        const auto* member = membership::find(state, vm);
        if (member == nullptr || member->member.leaving || !membership::isTrusted(state, vm))
            continue;
        for (const auto& [service, it] : record.loads) {
            if (!it.reported)
                continue;
            auto& load = loads[service][member->member.region];
            load.slots += it.slots;
            load.busy += it.busy;
        }
    }
}

bool hasHeadroom(const State& state, std::string_view service, std::string_view region)
{
    const auto* load = loadOf(state, service, region);
    if (load == nullptr || load->slots == 0)
        return false;
    return std::uint64_t { load->freeSlots() } * 100 >= std::uint64_t { load->slots } * shiftReservePercent;
}

} // namespace arbutuscrank::steering
