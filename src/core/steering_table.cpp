#include "core/steering_internal.hpp"

#include <arbutuscrank/core/state.hpp>

#include <algorithm>

namespace arbutuscrank::steering {

namespace {

    /// Suitability of a member as an entry for callers, best first. A table lists only members of the best value
    /// present.
    enum class EntryFitness : std::uint8_t { Available, Drained, Suspected, Leaving, Unusable };

    /// Whether a suspected member is probably down. This daemon exchanges heartbeats with all members of its region but
    /// with few of other regions. Suspicion of a member of another region therefore counts only if it is a peer, if it
    /// was a peer until its heartbeats stopped, or if the VM list no longer contains it.
    bool isUnreachable(const State& state, const MemberRecord& record, TimePoint now)
    {
        if (!record.suspected)
            return false;
        return record.member.region == state.self.region || record.peerSince || record.unlistedSince
            || now < record.avoidUntil;
    }

    bool isDrained(const ActiveDocument& active, const Member& member)
    {
        return active.isDrained(DrainKind::Vm, member.process.vm)
            || active.isDrained(DrainKind::FailureDomain, member.failureDomain)
            || active.isDrained(DrainKind::Region, member.region);
    }

    EntryFitness classifyFitness(const ActiveDocument& active, const Member& member, bool unreachable)
    {
        if (member.callerAddress.empty())
            return EntryFitness::Unusable;
        if (member.leaving)
            return EntryFitness::Leaving;
        if (unreachable)
            return EntryFitness::Suspected;
        return isDrained(active, member) ? EntryFitness::Drained : EntryFitness::Available;
    }

    /// Entries for the table, the own region first and then in the document's order of regions.
    std::vector<LookupEntry> collectEntries(const State& state, const ActiveDocument& active, TimePoint now)
    {
        std::vector<LookupEntry> entries;
        auto best = EntryFitness::Leaving;
        const auto offer = [&](const Member& member, EntryFitness fitness) {
            if (fitness > best || fitness == EntryFitness::Unusable)
                return;
            if (fitness < best)
                entries.clear();
            best = fitness;
            entries.push_back({ member.callerAddress, member.region, member.process.vm });
        };
        const auto self = membership::selfMember(state);
        offer(self, classifyFitness(active, self, false));
        for (const auto& [vm, record] : state.membership.members) {
            if (!record.gone)
                offer(record.member, classifyFitness(active, record.member, isUnreachable(state, record, now)));
        }
        const auto rank = [&](const LookupEntry& entry) {
            if (entry.region == state.self.region)
                return std::ptrdiff_t { -1 };
            const auto& regions = active.document().regions;
            return std::find_if(regions.begin(), regions.end(), [&](const Region& it) {
                return it.name == entry.region;
            }) - regions.begin();
        };
        std::vector<std::pair<std::ptrdiff_t, LookupEntry>> ranked;
        ranked.reserve(entries.size());
        for (auto& it : entries) {
            const auto position = rank(it);
            ranked.emplace_back(position, std::move(it));
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
            return std::tie(a.first, a.second.region, a.second.vm) < std::tie(b.first, b.second.region, b.second.vm);
        });
        entries.clear();
        for (auto& it : ranked)
            entries.push_back(std::move(it.second));
        return entries;
    }

    /// Region of each site, by site number; empty for a drained site.
    std::vector<std::string> regionsOfSites(const ActiveDocument& active)
    {
        std::vector<std::string> regions;
        for (const auto& site : active.document().steering.sites) {
            const bool drained
                = active.isDrained(DrainKind::Site, site.name) || active.isDrained(DrainKind::Region, site.region);
            regions.push_back(drained ? std::string() : site.region);
        }
        return regions;
    }

    bool hasSameContent(const LookupTable::Content& a, const LookupTable::Content& b)
    {
        return a.ttlSeconds == b.ttlSeconds && a.clients == b.clients && a.holders == b.holders
            && a.siteRegions == b.siteRegions && a.entries == b.entries;
    }

    /// Takes one token for a publication.
    /// \returns false if the bucket has none
    bool tryTakePublishToken(SteeringState& own, TimePoint now)
    {
        const auto next
            = std::max(own.publishTokensCountedFrom, now - publishInterval * publishBurst) + publishInterval;
        if (next > now)
            return false;
        own.publishTokensCountedFrom = next;
        return true;
    }

    std::shared_ptr<const HolderIndex> buildHolderIndex(const SteeringState& own)
    {
        std::vector<HolderIndex::AccountHolders> accounts;
        accounts.reserve(own.accountHolders.size());
        for (const auto& [account, vms] : own.accountHolders) {
            HolderIndex::AccountHolders indexedAccount { HolderIndex::hashOf(account), {} };
            for (const auto& vm : vms)
                indexedAccount.vms.push_back(HolderIndex::hashOf(vm));
            accounts.push_back(std::move(indexedAccount));
        }
        return std::make_shared<HolderIndex>(std::move(accounts));
    }

} // namespace

void refreshClients(State& state)
{
    auto& own = state.steering;
    const auto& steering = configuration::active(state)->document().steering;
    const auto fingerprint = ClientMap::fingerprint(steering);
    if (!own.clients || fingerprint != own.clientsFingerprint)
        own.clients = std::make_shared<ClientMap>(steering);
    own.clientsFingerprint = fingerprint;
}

void refreshHolders(State& state, std::size_t maxAccounts)
{
    auto& own = state.steering;
    const auto* active = configuration::active(state);
    const auto& accounts = active->document().accounts;
    if (own.accountHolders.size() > accounts.size()) {
        const auto removed = std::erase_if(
            own.accountHolders, [active](const auto& it) { return active->findAccount(it.first) == nullptr; });
        own.holdersChanged = own.holdersChanged || removed > 0;
    }
    if (own.holderCursor >= accounts.size())
        own.holderCursor = 0;
    const auto end = std::min(accounts.size(), own.holderCursor + maxAccounts);
    for (; own.holderCursor < end; ++own.holderCursor) {
        const auto& name = accounts[own.holderCursor].name;
        auto holders = quota::holders(state, quota::accountKey(name));
        auto& recordedHolders = own.accountHolders[name];
        if (recordedHolders != holders) {
            recordedHolders = std::move(holders);
            own.holdersChanged = true;
        }
    }
}

void refreshTable(State& state, Context& context)
{
    auto& own = state.steering;
    const auto* active = configuration::active(state);
    if (active == nullptr)
        return;
    own.nextTableCheck = context.now + tableCheckInterval;
    if (own.holdersChanged || !own.holders)
        own.holders = buildHolderIndex(own);
    own.holdersChanged = false;
    LookupTable::Content content;
    content.ttlSeconds = active->document().steering.lookupTtlSeconds;
    content.entries = collectEntries(state, *active, context.now);
    content.clients = own.clients;
    content.siteRegions = regionsOfSites(*active);
    content.holders = own.holders;
    own.isPublicationPending = false;
    if (own.table && hasSameContent(content, own.table->content()))
        return;
    if (!tryTakePublishToken(own, context.now)) {
        own.isPublicationPending = true;
        return;
    }
    context.log(LogEvent::LookupPublished, "entries=" + std::to_string(content.entries.size()));
    own.table = std::make_shared<LookupTable>(std::move(content));
    context.effect(PublishLookup { own.table });
}

} // namespace arbutuscrank::steering
