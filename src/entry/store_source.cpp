#include <arbutuscrank/entry/store_source.hpp>

#include "entry/reducers.hpp"

#include <arbutuscrank/entry/rendezvous.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace arbutuscrank::entry {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Time for which a coordinator that has lost the store reads another VM's feed before it tries the store again.
    constexpr Duration feedTime = seconds(4);
    /// Time for which a VM that does not coordinate reads the store after its coordinator's feed has failed.
    constexpr Duration directTime = seconds(4);
    /// Time for which a feed that has failed is not chosen again.
    constexpr Duration feedRetryTime = seconds(2);
    /// Age of a coordinator's report up to which its feed is chosen. Coordinators report every 300 ms.
    constexpr Duration maxReportAge = milliseconds(700);
    /// VMs of a failure domain, after its coordinator, that read the store if the feed fails.
    constexpr std::ptrdiff_t deputyCount = 2;
    /// Time for which deputies wait for a working feed. The coordinator names one within a tick, and another VM takes
    /// over from a coordinator that has ended within 0.9 s.
    constexpr Duration deputyWait = seconds(1);
    /// Time for which the other VMs wait while the store answers some VM. A store that returns is read by the
    /// coordinators within this time.
    constexpr Duration lastResortWait = milliseconds(1500);
    /// Age of the coordinator's newest digest from which it says nothing about the store. Digests arrive every 200 ms.
    constexpr Duration maxDigestAge = milliseconds(900);
    /// Age of the store's newest answer up to which a VM serves a feed.
    constexpr Duration maxContactAge = milliseconds(1500);

    bool hasFailed(const StoreSource& source, const VmId& vm, TimePoint now)
    {
        const auto it = source.feedFailedAt.find(vm);
        return it != source.feedFailedAt.end() && now - it->second < feedRetryTime;
    }

    /// The VM whose feed a coordinator without the store reads: one of its own failure domain, then one of its region.
    /// Equal ones are chosen by rendezvous hashing, so that not all coordinators read the same feed.
    VmId chooseFeed(const EntryState& state, TimePoint now)
    {
        VmId best;
        std::tuple<bool, bool, std::uint64_t> bestRank {};
        const auto self = MemberTable::hashOf(state.members.self().process.vm);
        const auto consider = [&](const VmId& vm) {
            const auto member = state.members.others().find(vm);
            if (member == state.members.others().end() || hasFailed(state.storeSource, vm, now))
                return;
            const auto& record = member->second.record;
            const std::tuple rank(record.failureDomain == state.settings.failureDomain,
                record.region == state.settings.region, mixHashes(self, MemberTable::hashOf(vm)));
            if (best.empty() || rank > bestRank) {
                best = vm;
                bestRank = rank;
            }
        };
        for (const auto& [vm, member] : state.members.others()) {
            if (member.report && member.report->servesFeed && MemberTable::isResponsive(member, now, maxReportAge))
                consider(vm);
        }
        for (const auto& [name, domain] : state.domainReports.all()) {
            if (domain.report.servesFeed && now - domain.receivedAt < maxReportAge)
                consider(domain.report.coordinator.vm);
        }
        return best;
    }

    VmId chooseAsCoordinator(EntryState& state, TimePoint now)
    {
        auto& source = state.storeSource;
        source.readsStoreUntil.reset();
        const bool readsFeed = source.readsFeedUntil && now < *source.readsFeedUntil;
        if (!readsFeed && !source.storeFailedAt)
            return {};
        if (readsFeed && !source.feed.empty() && !hasFailed(source, source.feed, now))
            return source.feed;
        if (!readsFeed && source.readsFeedUntil) {
            // The store is tried again; its next failure leads back to a feed.
            source.readsFeedUntil.reset();
            source.storeFailedAt.reset();
            return {};
        }
        auto feed = chooseFeed(state, now);
        source.announcedFeed = feed;
        if (feed.empty())
            source.readsFeedUntil.reset();
        else if (!readsFeed)
            source.readsFeedUntil = now + feedTime;
        return feed;
    }

    bool isDeputy(const EntryState& state)
    {
        auto ranks = Coordination::ranking(state.members, state.settings.failureDomain);
        std::erase(ranks, state.coordination.followedCoordinator());
        return std::ranges::find(ranks, state.members.self().process.vm) - ranks.begin() < deputyCount;
    }

    VmId chooseAsFollower(EntryState& state, TimePoint now)
    {
        auto& source = state.storeSource;
        source.readsFeedUntil.reset();
        source.announcedFeed.clear();
        if (!source.readsStoreUntil && source.feedFailingSince) {
            const auto failingTime = now - *source.feedFailingSince;
            const auto reportedAt = state.fleetLoad.receivedAt;
            // An overloaded coordinator is late with its digests too. Its VMs then relieve it.
            const bool isStoreAvailable
                = !reportedAt || now - *reportedAt >= maxDigestAge || state.fleetLoad.storeUptime >= lastResortWait;
            if ((failingTime >= deputyWait && isDeputy(state)) || (failingTime >= lastResortWait && isStoreAvailable))
                source.readsStoreUntil = now + directTime;
        }
        if (source.readsStoreUntil && now >= *source.readsStoreUntil) {
            source.readsStoreUntil.reset();
            source.feedFailingSince.reset();
        }
        if (source.readsStoreUntil)
            return {};
        const auto& feed = state.fleetLoad.feed;
        if (feed == state.members.self().process.vm)
            return {}; // the coordinator reads this VM's feed
        return state.members.others().contains(feed) ? feed : state.coordination.followedCoordinator();
    }

} // namespace

bool updateStoreSource(EntryState& state, TimePoint now)
{
    const bool isCoordinator = state.coordination.isCoordinator();
    if (!isCoordinator && state.coordination.followedCoordinator().empty())
        return false;
    auto feed = isCoordinator ? chooseAsCoordinator(state, now) : chooseAsFollower(state, now);
    state.storeSource.feed = std::move(feed);
    return true;
}

bool servesFeed(const EntryState& state, TimePoint now)
{
    return state.storeSource.feed.empty() && !state.storeSource.storeFailedAt && state.storeContactAt
        && now - *state.storeContactAt < maxContactAge;
}

void apply(EntryState& state, const FeedFailed&, TimePoint now, Effects&)
{
    auto& source = state.storeSource;
    if (source.feed.empty())
        return;
    source.feedFailedAt[source.feed] = now;
    if (!source.feedFailingSince)
        source.feedFailingSince = now;
}

} // namespace arbutuscrank::entry
