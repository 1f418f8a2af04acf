#include "membership_updates.hpp"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace arbutuscrank::membership {

namespace {

    std::uint64_t rendezvousWeight(std::uint64_t seed, std::string_view vm) noexcept
    {
        return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
    }

    std::uint64_t rendezvousSeed(std::string_view key) noexcept { return XXH3_64bits(key.data(), key.size()); }

    /// Whether a member may be chosen as a relay. Only some members of other regions send heartbeats to this daemon, so
    /// a member of another region may be a relay although it is suspected. It is ruled out while it is avoided as a
    /// silent peer or missing from the VM list.
    bool isRelayCandidate(const State& state, const MemberRecord& record, TimePoint now)
    {
        if (record.gone || record.member.leaving || record.member.peerAddress.empty())
            return false;
        if (record.member.region == state.self.region)
            return !record.suspected;
        return !record.suspected || (now >= record.avoidUntil && !record.unlistedSince);
    }

    struct Candidate {
        std::uint64_t weight = 0;
        const VmId* vm = nullptr;
    };

    /// Candidates of one failure domain with the highest weights, in descending order.
    struct TopCandidates {
        std::array<Candidate, relaysPerFailureDomain> best;

        void offer(Candidate candidate)
        {
            for (auto& it : best) {
                if (it.vm == nullptr || candidate.weight > it.weight)
                    std::swap(it, candidate);
                if (candidate.vm == nullptr)
                    return;
            }
        }
    };

    /// Chooses the member of another region to connect to: a relay if one is known, otherwise the member with the
    /// earliest \ref MemberRecord::avoidUntil.
    const MemberRecord* chooseRegionPeer(const State& state, std::string_view region)
    {
        const auto seed = rendezvousSeed(state.self.process.vm);
        const MemberRecord* best = nullptr;
        const auto isPreferred = [&](const MemberRecord& a, const MemberRecord& b) {
            const bool relayA = isRelay(state, a.member.process.vm);
            const bool relayB = isRelay(state, b.member.process.vm);
            if (relayA != relayB)
                return relayA;
            if (!relayA && a.avoidUntil != b.avoidUntil)
                return a.avoidUntil < b.avoidUntil;
            return rendezvousWeight(seed, a.member.process.vm) > rendezvousWeight(seed, b.member.process.vm);
        };
        for (const auto& [vm, record] : state.membership.members) {
            if (record.member.region != region || record.gone || record.member.peerAddress.empty())
                continue;
            if (best == nullptr || isPreferred(record, *best))
                best = &record;
        }
        return best;
    }

    void computeRelays(State& state, TimePoint now)
    {
        std::map<std::string_view, TopCandidates> domains;
        const auto& self = state.self;
        if (!state.membership.selfLeaving)
            domains[self.failureDomain].offer(
                { rendezvousWeight(rendezvousSeed(self.failureDomain), self.process.vm), &self.process.vm });
        for (auto& [vm, record] : state.membership.members) {
            if (!isRelayCandidate(state, record, now))
                continue;
            if (record.relayWeight == 0)
                record.relayWeight = rendezvousWeight(rendezvousSeed(record.member.failureDomain), vm);
            domains[record.member.failureDomain].offer({ record.relayWeight, &vm });
        }
        state.membership.relays.clear();
        for (const auto& [name, domain] : domains) {
            for (const auto& it : domain.best) {
                if (it.vm != nullptr)
                    state.membership.relays.insert(*it.vm);
            }
        }
    }

    /// Computes the peer set. In a small fleet it holds every member. In a larger fleet it holds the whole own region,
    /// one member of each other region, and the members that quotas need. A relay also connects to all other relays.
    std::vector<PeerEndpoint> computePeers(State& state)
    {
        const bool isFullMesh = state.membership.members.size() <= state.membership.maxFullMeshMembers;
        const bool isSelfRelay = isRelay(state, state.self.process.vm);
        const auto needed = quota::neededPeers(state);
        std::map<std::string_view, const MemberRecord*> otherRegions;
        for (const auto& [vm, record] : state.membership.members) {
            if (!record.gone && !record.member.region.empty() && record.member.region != state.self.region)
                otherRegions.try_emplace(record.member.region, nullptr);
        }
        std::set<std::string_view> chosen;
        for (const auto& [region, unused] : otherRegions) {
            if (const auto* record = chooseRegionPeer(state, region))
                chosen.insert(record->member.process.vm);
        }
        std::vector<PeerEndpoint> peers;
        for (const auto& [vm, record] : state.membership.members) {
            if (record.gone || record.member.peerAddress.empty())
                continue;
            const bool ownRegion = record.member.region == state.self.region;
            if (isFullMesh || ownRegion || chosen.contains(vm) || (isSelfRelay && isRelay(state, vm))
                || std::binary_search(needed.begin(), needed.end(), vm))
                peers.push_back({ vm, record.member.peerAddress });
        }
        return peers;
    }

    bool samePeers(const std::vector<PeerEndpoint>& a, const std::vector<PeerEndpoint>& b)
    {
        return std::equal(
            a.begin(), a.end(), b.begin(), b.end(), [](const PeerEndpoint& left, const PeerEndpoint& right) {
                return left.vm == right.vm && left.address == right.address;
            });
    }

} // namespace

std::vector<VmId> rendezvousOrder(std::string_view key, std::span<const VmId> vms)
{
    const auto seed = rendezvousSeed(key);
    std::vector<std::pair<std::uint64_t, VmId>> weights;
    weights.reserve(vms.size());
    for (const auto& it : vms)
        weights.emplace_back(rendezvousWeight(seed, it), it);
    std::sort(weights.begin(), weights.end(), std::greater<>());
    std::vector<VmId> order;
    order.reserve(weights.size());
    for (auto& [weight, vm] : weights)
        order.push_back(std::move(vm));
    return order;
}

void detail::refreshRoles(State& state, Context& context)
{
    auto& own = state.membership;
    if (!own.areRolesOutdated)
        return;
    own.areRolesOutdated = false;
    computeRelays(state, context.now);
    auto peers = computePeers(state);
    if (samePeers(peers, own.peers))
        return;
    own.peers = std::move(peers);
    auto next = own.peers.begin();
    for (auto& [vm, record] : own.members) {
        const bool peer = next != own.peers.end() && next->vm == vm;
        if (!peer)
            record.peerSince.reset();
        else if (!record.peerSince)
            record.peerSince = context.now;
        if (peer)
            ++next;
    }
    context.effect(SetPeers { own.peers });
}

} // namespace arbutuscrank::membership
