#include "node/entry_node.hpp"

#include "node/clock.hpp"
#include "node/member_codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

/// \file
/// \brief What an entry VM reads from the store and writes there.

namespace arbutuscrank::node {

namespace {

    using std::chrono::milliseconds;

    /// Time for which a starting VM retries an unreachable feed, because its coordinator may be starting too.
    constexpr Duration coordinatorStartTimeout = milliseconds(1500);

} // namespace

void EntryNode::createReaders()
{
    m_store->setEraHandler([this](StoreEra era) { dispatch(entry::StoreEraRead { era }); });
    // An answered watch of the policy proves that no key was withdrawn before the watch was sent. The age of this proof
    // must stay within the bound on withdrawals. The wait counts twice towards that age: the coordinator waits for the
    // store, and a VM that reads the coordinator's feed waits for the coordinator. The other collections only need a
    // live connection, so their watches wait long. Once the policy is read again after a failure, all collections are
    // listed again, which replaces dead connections. A connection that dies alone and without a reset is replaced once
    // the answers of the policy's watches show that the store has changed.
    const auto policyWatchWait = m_state.settings.bounds.policyWatchWait();
    constexpr Duration otherWatchWait = std::chrono::seconds(25);
    // The pause lets one call read changes that come together, as at a start or a release. It is a small part of the
    // bound on requests to draining targets.
    constexpr Duration policyPause = milliseconds(20);
    const Duration otherPause = m_state.settings.bounds.drainLimit / 5;
    for (const auto collection :
        { Collection::Policy, Collection::Targets, Collection::Evacuations, Collection::Members }) {
        const CollectionReader::WatchTiming timing = collection == Collection::Policy
            ? CollectionReader::WatchTiming { policyWatchWait, policyPause, policyWatchWait }
            : CollectionReader::WatchTiming { otherWatchWait, otherPause, m_state.settings.bounds.drainLimit };
        m_readers.emplace(collection,
            std::make_shared<CollectionReader>(m_context, m_store, collection, timing, readerHandlers(collection)));
    }
}

void EntryNode::updateStoreSource()
{
    if (!entry::updateStoreSource(m_state, currentTime()))
        return; // no coordinator is known yet
    const auto it = m_state.members.others().find(m_state.storeSource.feed);
    const std::string source = it == m_state.members.others().end() ? std::string() : it->second.record.reportAddress;
    if (m_hasStartedReaders && source == m_store->source())
        return;
    for (const auto& [collection, reader] : m_readers)
        reader->stop();
    m_store->setSource(source);
    m_hasStartedReaders = true;
    m_mustListAfterFailure = false;
    log(LogEvent::StoreSourceChanged, fmt::format("source={}", source.empty() ? "store" : source));
    // Reading on instead of listing keeps the load small when all VMs of a domain change to the same feed. The store is
    // listed, so that this VM's own feed is complete.
    for (const auto& [collection, reader] : m_readers) {
        if (source.empty())
            reader->restart();
        else
            reader->resume();
    }
}

CollectionReader::Handlers EntryNode::readerHandlers(Collection collection)
{
    return {
        .onListed = [this, collection](const StoreListing& listing) { applyListing(collection, listing); },
        .onChanged = [this, collection](const StoreChange& change) { applyChange(collection, change); },
        .onConfirmed =
            [this, collection](TimePoint sentAt) {
                m_readConfirmedAt[collection] = sentAt;
                dispatch(entry::StoreAnswered {
                    .isDirect = m_store->source().empty(), .confirmsPolicy = collection == Collection::Policy });
                if (collection == Collection::Policy && m_state.policy.policy().version != 0
                    && !m_store->isPolicyHidden())
                    dispatch(entry::PolicyConfirmed { sentAt });
                if (collection == Collection::Policy && m_mustListAfterFailure)
                    listAfterFailure();
                if (collection == Collection::Policy)
                    replaceSilentWatches();
            },
        .onFailed = [this, collection](const Error& error) { handleReadFailure(collection, error); },
    };
}

void EntryNode::handleReadFailure(Collection collection, const Error& error)
{
    ++m_failedStoreCalls;
    const bool isHistoryGone = error.code == ErrorCode::NotFound;
    if (!m_store->source().empty()) {
        handleFeedFailure(collection, error);
        return;
    }
    const bool wasStoreUnavailable = m_state.isStoreUnavailable;
    if (!isHistoryGone) {
        m_store->invalidateFeed(collection);
        dispatch(entry::StoreFailed {});
    }
    if (!wasStoreUnavailable)
        log(LogEvent::StoreCallFailed, fmt::format("collection={} {}", toString(collection), describe(error)));
    if (collection == Collection::Policy)
        m_mustListAfterFailure = true;
    else if (m_mustListAfterFailure)
        m_readers.at(collection)->stop(); // listed again once the policy is read, so that one reader tries the store
    updateStoreSource();
}

void EntryNode::listAfterFailure()
{
    // The connections of the other readers may be dead too, which a long watch would not show for some time.
    m_mustListAfterFailure = false;
    for (const auto& [collection, reader] : m_readers) {
        if (collection != Collection::Policy)
            reader->restart();
    }
}

void EntryNode::replaceSilentWatches()
{
    const auto storeRevision = m_readers.at(Collection::Policy)->revision();
    for (const auto& [collection, reader] : m_readers) {
        const auto revision = reader->revision();
        if (collection != Collection::Policy && reader->noteStoreRevision(storeRevision))
            log(LogEvent::StoreWatchRepeated,
                fmt::format("collection={} revision={} store_revision={} source={}", toString(collection), revision,
                    storeRevision, m_store->source().empty() ? "store" : m_store->source()));
    }
}

void EntryNode::handleFeedFailure(Collection collection, const Error& error)
{
    if (error.code == ErrorCode::NotFound)
        return; // the reader lists the collection again
    // While this VM starts, its coordinator may be starting too, so the reader retries the feed.
    const bool isStarting
        = m_state.policy.policy().version == 0 && currentTime() - m_startedAt < coordinatorStartTimeout;
    if (isStarting && error.code == ErrorCode::Unavailable)
        return;
    if (!m_state.storeSource.feedFailingSince)
        log(LogEvent::StoreCallFailed, fmt::format("collection={} {}", toString(collection), describe(error)));
    m_readers.at(collection)->resumeAfterBackoff();
    dispatch(entry::FeedFailed {});
    updateStoreSource();
}

bool EntryNode::applyPolicyObject(const StoreObject& object)
{
    auto policy = m_platform.decoder->decodePolicy(object);
    if (policy)
        dispatch(entry::PolicyRead { std::move(policy.value()) });
    else
        log(LogEvent::ConfigurationRefused,
            fmt::format("revision={} in_force={} {}", object.revision, m_state.policy.policy().version,
                describe(policy.error())));
    return policy.has_value();
}

std::vector<entry::TargetRecord> EntryNode::decodeTargets(const std::vector<StoreObject>& objects)
{
    std::vector<entry::TargetRecord> records;
    for (const auto& object : objects) {
        auto record = m_platform.decoder->decodeTarget(object);
        if (record)
            records.push_back(std::move(record.value()));
        else if (m_undecodableTargets.insert(object.name).second)
            log(LogEvent::StoreEntryRefused, fmt::format("name=\"{}\" {}", object.name, describe(record.error())));
    }
    return records;
}

void EntryNode::applyListing(Collection collection, const StoreListing& listing)
{
    m_listGaps[collection] = listing.gaps.size();
    for (const auto& gap : listing.gaps)
        log(LogEvent::StoreListCut,
            fmt::format("collection={} after=\"{}\" until=\"{}\"", toString(collection), gap.after, gap.until));
    const auto& objects = listing.objects;
    switch (collection) {
    case Collection::Policy: {
        bool isShown = false;
        for (const auto& object : objects)
            isShown = applyPolicyObject(object) || isShown;
        m_store->setPolicyHidden(!isShown && !listing.isComplete());
        return;
    }
    case Collection::Targets:
        dispatch(entry::TargetsListed { decodeTargets(objects), listing.isComplete() });
        return;
    case Collection::Evacuations:
        if (listing.isComplete())
            m_evacuations.clear();
        for (const auto& object : objects)
            addEvacuation(object.name);
        dispatchEvacuations();
        return;
    case Collection::Members: {
        std::vector<entry::MemberRecord> records;
        const StoreObject* self = nullptr;
        if (listing.isComplete()) {
            m_memberRevisions.clear();
            m_evacuationRecords.clear();
        }
        // An incomplete list may lack a registration of this VM that is known.
        const bool isRegistrationKnown = m_memberRevisions.contains(m_state.settings.vm);
        for (const auto& object : objects) {
            m_memberRevisions[object.name] = object.revision;
            if (auto failureDomain = recordedEvacuation(object)) {
                m_evacuationRecords.insert(std::move(*failureDomain));
                continue;
            }
            if (object.name == m_state.settings.vm)
                self = &object;
            if (auto record = decodeMember(object))
                records.push_back(std::move(record.value()));
            else
                log(LogEvent::StoreEntryRefused, fmt::format("name=\"{}\" {}", object.name, describe(record.error())));
        }
        dispatch(entry::MembersListed { std::move(records), listing.isComplete() });
        dispatch(entry::EvacuationRecordsChanged { m_evacuationRecords });
        if (self || !isRegistrationKnown)
            registerSelf(self);
        if (!m_hasStartedReaders)
            updateStoreSource();
        return;
    }
    }
}

void EntryNode::applyChange(Collection collection, const StoreChange& change)
{
    const auto& object = change.object;
    switch (collection) {
    case Collection::Policy:
        if (!change.isDeleted && applyPolicyObject(object))
            m_store->setPolicyHidden(false);
        return;
    case Collection::Targets:
        // An entry that can no longer be read names no target, as in a list.
        if (auto records = change.isDeleted ? std::vector<entry::TargetRecord>() : decodeTargets({ object });
            !records.empty())
            dispatch(entry::TargetChanged { std::move(records.front()) });
        else
            dispatch(entry::TargetRemoved { object.name, object.revision });
        return;
    case Collection::Evacuations:
        if (change.isDeleted)
            m_evacuations.erase(object.name);
        else
            addEvacuation(object.name);
        dispatchEvacuations();
        return;
    case Collection::Members:
        if (const auto failureDomain = recordedEvacuation(object)) {
            applyEvacuationRecordChange(*failureDomain, change);
            return;
        }
        if (change.isDeleted) {
            m_memberRevisions.erase(object.name);
            dispatch(entry::MemberRemoved { object.name });
            if (object.name == m_state.settings.vm)
                registerSelf(nullptr);
            return;
        }
        m_memberRevisions[object.name] = object.revision;
        if (auto record = decodeMember(object))
            dispatch(entry::MemberChanged { std::move(record.value()) });
        else
            log(LogEvent::StoreEntryRefused, fmt::format("name=\"{}\" {}", object.name, describe(record.error())));
        return;
    }
}

bool EntryNode::isKnownFailureDomain(const std::string& name) const
{
    const auto& settings = m_state.settings;
    return name == settings.failureDomain || settings.regionOfFailureDomain.contains(name);
}

void EntryNode::addEvacuation(const std::string& failureDomain)
{
    if (m_evacuations.insert(failureDomain).second && !isKnownFailureDomain(failureDomain))
        log(LogEvent::StoreEntryRefused,
            fmt::format("collection=evacuations name=\"{}\": no failure domain of the settings", failureDomain));
}

void EntryNode::dispatchEvacuations()
{
    // Evacuations are repeated in each report to other VMs and recorded in the store, so that names of other writers
    // must not get there. No target is in a failure domain that the settings do not name.
    std::set<std::string> known;
    std::ranges::copy_if(m_evacuations, std::inserter(known, known.end()),
        [this](const std::string& it) { return isKnownFailureDomain(it); });
    dispatch(entry::EvacuationsChanged { { .revision = m_readers.at(Collection::Evacuations)->revision(),
        .failureDomains = std::move(known),
        .era = m_store->era() } });
}

void EntryNode::applyEvacuationRecordChange(const std::string& failureDomain, const StoreChange& change)
{
    if (change.isDeleted) {
        m_memberRevisions.erase(change.object.name);
        m_evacuationRecords.erase(failureDomain);
    } else {
        m_memberRevisions[change.object.name] = change.object.revision;
        m_evacuationRecords.insert(failureDomain);
    }
    dispatch(entry::EvacuationRecordsChanged { m_evacuationRecords });
}

void EntryNode::registerSelf(const StoreObject* registered)
{
    const auto registration = encodeMember(m_state.members.self());
    if (m_isRegistering || m_state.stopRequestedAt || (registered && registered->body == registration.body))
        return;
    m_isRegistering = true;
    auto object = registration;
    object.revision = registered ? registered->revision : 0;
    m_store->write(Collection::Members, object, [this](Result<ObjectVersion> result) {
        m_isRegistering = false;
        if (result)
            return;
        log(LogEvent::StoreCallFailed, fmt::format("collection=members {}", describe(result.error())));
        // The registration exists in a gap of the list of VMs, and a new list would not show it either.
        if (result.error().code == ErrorCode::Conflict && m_listGaps[Collection::Members] != 0)
            return;
        // The write may have taken effect, or another run of this VM may have registered first. A new list shows which.
        m_readers.at(Collection::Members)->restartAfterBackoff();
    });
}

void EntryNode::removeMemberObject(const std::string& name)
{
    const auto it = m_memberRevisions.find(name);
    if (it == m_memberRevisions.end())
        return;
    m_store->remove(Collection::Members, name, it->second, [this](Result<ObjectVersion> result) {
        if (!result)
            log(LogEvent::StoreCallFailed, fmt::format("collection=members {}", describe(result.error())));
    });
}

void EntryNode::perform(const entry::RemoveRegistration& effect) { removeMemberObject(effect.vm); }

void EntryNode::perform(const entry::RestartStoreCalls& effect)
{
    const bool hasRead = m_store->era() != 0;
    m_store->noteEra(effect.era);
    if (!hasRead)
        return;
    m_memberRevisions.clear();
    m_mustListAfterFailure = false;
    for (const auto& [collection, reader] : m_readers) {
        if (m_hasStartedReaders || collection == Collection::Members)
            reader->restartInNewEra();
    }
}

void EntryNode::perform(const entry::RepeatPolicyRead&)
{
    if (m_hasStartedReaders && m_store->source().empty())
        m_readers.at(Collection::Policy)->restart();
}

void EntryNode::perform(const entry::RecordEvacuation& effect)
{
    // If the call fails, the coordinator requests the record again.
    m_store->write(
        Collection::Members, encodeEvacuationRecord(effect.failureDomain), [this](Result<ObjectVersion> result) {
            if (!result)
                log(LogEvent::StoreCallFailed, fmt::format("collection=members {}", describe(result.error())));
        });
}

void EntryNode::perform(const entry::RemoveEvacuationRecord& effect)
{
    removeMemberObject(encodeEvacuationRecord(effect.failureDomain).name);
}

} // namespace arbutuscrank::node
