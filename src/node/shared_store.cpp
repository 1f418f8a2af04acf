#include "node/shared_store.hpp"

#include "node/clock.hpp"
#include "node/paged_listing.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>
#include <utility>

namespace arbutuscrank::node {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    constexpr std::string_view feedPath = "/v1/feed/";
    /// Timeout of a list. The feed answers from memory, but a configuration of 1 MB is sent to all its readers at once.
    constexpr Duration listTimeout = milliseconds(1500);
    /// Time for which a list waits for the first read of a VM that starts. Its reader retries refused lists for 1.5 s
    /// before it counts the feed as failed. A read of the store takes 250 ms in a distant region.
    constexpr Duration firstReadWait = milliseconds(500);
    /// Time that the answer of a watch may take after the end of its wait.
    constexpr Duration watchAnswerMargin = milliseconds(450);
    /// Greatest age of the last confirmation of the policy with which the feed is served. An answered watch confirms
    /// the policy as of the time at which it was sent, so the age grows up to twice the wait of a watch plus the time
    /// to the store. The value fits a wait of one second, which follows from a keyWithdrawalLimit of 5 s; a longer wait
    /// needs a greater value.
    constexpr Duration maxPolicyAge = milliseconds(2600);
    constexpr auto collections
        = std::array { Collection::Policy, Collection::Targets, Collection::Evacuations, Collection::Members };

    Json encodeObject(const StoreObject& object) { return { object.name, object.revision, object.body }; }

    StoreObject decodeObject(const Json& json)
    {
        return { json.at(0).get<std::string>(), json.at(1).get<ObjectVersion>(), json.at(2).get<std::string>() };
    }

    // The confirmation is sent as an offset from the arrival of the call (negative if it came before), because the
    // clocks of two VMs cannot be compared. The reader adds it to the send time of its call, so its result is never too
    // late.

    std::string encode(const StoreListing& listing)
    {
        auto objects = Json::array();
        for (const auto& object : listing.objects)
            objects.push_back(encodeObject(object));
        auto gaps = Json::array();
        for (const auto& gap : listing.gaps)
            gaps.push_back({ gap.after, gap.until });
        return Json {
            { "revision", listing.revision }, { "objects", std::move(objects) }, { "gaps", std::move(gaps) }
        }.dump();
    }

    std::string encode(const StoreChanges& changes)
    {
        auto objects = Json::array();
        auto removed = Json::array();
        for (const auto& change : changes.changes) {
            if (change.isDeleted)
                removed.push_back(encodeObject(change.object));
            else
                objects.push_back(encodeObject(change.object));
        }
        return Json {
            { "revision", changes.revision }, { "objects", std::move(objects) }, { "removed", std::move(removed) }
        }.dump();
    }

    /// Adds the era and the confirmation to an encoded answer.
    std::string addConfirmation(std::string_view encoded, StoreEra era, Duration offset)
    {
        return "{\"era\":" + std::to_string(era) + ",\"confirmedAfterUs\":" + std::to_string(offset.count()) + ','
            + std::string(encoded.substr(1));
    }

    StoreListing decodeListing(const Json& json, TimePoint sentAt)
    {
        StoreListing out { .revision = json.at("revision").get<std::uint64_t>(),
            .confirmedAt = sentAt + Duration(json.at("confirmedAfterUs").get<std::int64_t>()),
            .era = json.value("era", StoreEra { 0 }) };
        for (const auto& object : json.at("objects"))
            out.objects.push_back(decodeObject(object));
        for (const auto& gap : json.value("gaps", Json::array())) // VMs of earlier versions send none
            out.gaps.push_back({ gap.at(0).get<std::string>(), gap.at(1).get<std::string>() });
        return out;
    }

    StoreChanges decodeChanges(const Json& json, TimePoint sentAt)
    {
        StoreChanges out { .revision = json.at("revision").get<std::uint64_t>(),
            .confirmedAt = sentAt + Duration(json.at("confirmedAfterUs").get<std::int64_t>()),
            .era = json.value("era", StoreEra { 0 }) };
        for (const auto& object : json.at("removed"))
            out.changes.push_back({ decodeObject(object), true });
        for (const auto& object : json.at("objects"))
            out.changes.push_back({ decodeObject(object), false });
        return out;
    }

    /// Era that a refusal of a feed names; 0 if it names none.
    StoreEra decodeRefusalEra(const std::string& body)
    {
        const auto json = Json::parse(body, nullptr, false);
        return json.is_object() ? json.value("era", StoreEra { 0 }) : 0;
    }

    /// Value of a numeric query parameter; zero if it is missing or unreadable.
    std::uint64_t queryNumber(std::string_view query, std::string_view name)
    {
        const auto at = query.find(std::string(name) + '=');
        std::uint64_t value = 0;
        if (at != std::string_view::npos)
            std::from_chars(query.data() + at + name.size() + 1, query.data() + query.size(), value);
        return value;
    }

} // namespace

SharedStore::SharedStore(asio::io_context& context, std::shared_ptr<ObjectStore> platformStore)
    : m_context(context)
    , m_platformStore(std::move(platformStore))
    , m_server(context, HttpGetServer::AsyncHandler([this](std::string_view target, HttpGetServer::Reply reply) {
        serve(target, std::move(reply));
    }))
{
    m_platformStore->setEraHandler([this](StoreEra era) { noteEra(era); });
}

void SharedStore::noteEra(StoreEra era)
{
    if (era <= m_era)
        return;
    const bool isRise = std::exchange(m_era, era) != 0;
    if (isRise) {
        m_caches.clear();
        m_encodedListings.clear();
        m_encodedChanges.clear();
        refuseFeedReads();
        abandonWrites();
    }
    if (m_eraHandler)
        m_eraHandler(era);
}

template <typename T> void SharedStore::deliver(Result<T> answer, StoreEra sentInEra, const Handler<T>& done)
{
    if (answer && !isCurrent(answer.value().era, sentInEra)) {
        done(Error { ErrorCode::Unavailable, "store.era", m_source,
            "the answer is not of era " + std::to_string(m_era) + " of the store" });
        return;
    }
    done(std::move(answer));
}

template <typename T, typename Decode> HttpChannel::Handler SharedStore::makeFeedHandler(Handler<T> done, Decode decode)
{
    return [this, done = std::move(done), decode, peer = m_source, sentAt = currentTime(), sentInEra = m_era](
               Result<HttpChannel::Response> response) {
        if (!response) {
            done(response.error());
            return;
        }
        const auto& body = response.value().body();
        try {
            const auto status = response.value().result_int();
            if (status == 200) {
                Result<T> answer = decode(Json::parse(body), sentAt);
                noteEra(answer.value().era);
                deliver(std::move(answer), sentInEra, done);
                return;
            }
            noteEra(decodeRefusalEra(body));
            done(Error { status == 410 ? ErrorCode::NotFound : ErrorCode::Unavailable, "feed.read", peer,
                "status " + std::to_string(status) });
        } catch (const Json::exception& ec) {
            done(Error { ErrorCode::Protocol, "feed.read", peer, ec.what() });
        }
    };
}

HttpGetServer::Answer SharedStore::makeRefusal(http::status status) const
{
    return makeAnswer(status, "{\"era\":" + std::to_string(m_era) + '}', "application/json");
}

void SharedStore::setSource(const std::string& address)
{
    if (address == m_source)
        return;
    m_source = address;
    for (auto& [collection, channel] : std::exchange(m_feedChannels, {}))
        channel->abandon();
    // The caches hold only reads from the platform's store, which are no longer updated.
    m_caches.clear();
    m_encodedListings.clear();
    m_encodedChanges.clear();
    refuseFeedReads();
}

HttpChannel& SharedStore::feedChannel(Collection collection)
{
    auto& channel = m_feedChannels[collection];
    if (!channel) {
        const auto endpoint = parseEndpoint(m_source);
        channel = std::make_shared<HttpChannel>(m_context, endpoint ? endpoint.value() : Tcp::endpoint(),
            m_source); // connecting to the empty endpoint fails if the address is unreadable
    }
    return *channel;
}

void SharedStore::recordConfirmation(Collection collection, TimePoint sentAt)
{
    if (collection == Collection::Policy && !m_isPolicyHidden)
        m_confirmedAt = std::max(m_confirmedAt.value_or(sentAt), sentAt);
}

void SharedStore::list(Collection collection, const std::string&, Handler<StoreListing> done)
{
    if (!m_source.empty()) {
        HttpChannel::Request request(
            http::verb::get, std::string(feedPath) + std::string(toString(collection)) + "?list", 11);
        feedChannel(collection).call(std::move(request), listTimeout, makeFeedHandler(std::move(done), decodeListing));
        return;
    }
    const auto readPage = [this, collection](const std::string& pageAfter, Handler<StoreListing> pageDone) {
        ++m_platformCalls;
        m_platformStore->list(collection, pageAfter, std::move(pageDone));
    };
    std::make_shared<PagedListing>(readPage,
        [this, collection, sentAt = currentTime(), sentInEra = m_era, done = std::move(done)](
            Result<StoreListing> listing) {
            if (listing)
                noteEra(listing.value().era);
            if (listing && m_source.empty() && isCurrent(listing.value().era, sentInEra)) {
                recordConfirmation(collection, sentAt);
                m_caches[collection].applyListing(listing.value());
                m_encodedListings.erase(collection); // a list as of the same revision may have other gaps
                answerWaiters(collection);
            }
            deliver(std::move(listing), sentInEra, done);
        })
        ->start();
}

void SharedStore::watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done)
{
    if (!m_source.empty()) {
        HttpChannel::Request request(http::verb::get,
            std::string(feedPath) + std::string(toString(collection)) + "?watch=" + std::to_string(revision)
                + "&waitMs=" + std::to_string(wait / milliseconds(1)) + "&era=" + std::to_string(m_era),
            11);
        feedChannel(collection)
            .call(std::move(request), wait + watchAnswerMargin, makeFeedHandler(std::move(done), decodeChanges));
        return;
    }
    ++m_platformCalls;
    m_platformStore->watch(collection, revision, wait,
        [this, collection, sentAt = currentTime(), sentInEra = m_era, done = std::move(done)](
            Result<StoreChanges> changes) {
            if (changes)
                noteEra(changes.value().era);
            if (changes && m_source.empty() && isCurrent(changes.value().era, sentInEra)) {
                recordConfirmation(collection, sentAt);
                m_caches[collection].applyChanges(changes.value());
                answerWaiters(collection);
            }
            deliver(std::move(changes), sentInEra, done);
        });
}

void SharedStore::abandonReads(Collection collection)
{
    if (const auto it = m_feedChannels.find(collection); it != m_feedChannels.end())
        it->second->abandon();
    m_platformStore->abandonReads(collection);
}

ObjectStore::Handler<ObjectVersion> SharedStore::makeWriteHandler(Handler<ObjectVersion> done) const
{
    return [this, sentInEra = m_era, done = std::move(done)](Result<ObjectVersion> result) {
        if (result && !isCurrent(0, sentInEra))
            result = Error { ErrorCode::Unknown, "store.era", {},
                "the store may have lost the write, because its era has risen to " + std::to_string(m_era) };
        done(std::move(result));
    };
}

void SharedStore::write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done)
{
    ++m_platformCalls;
    m_platformStore->write(collection, object, makeWriteHandler(std::move(done)));
}

void SharedStore::remove(
    Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done)
{
    ++m_platformCalls;
    m_platformStore->remove(collection, name, revision, makeWriteHandler(std::move(done)));
}

bool SharedStore::canServe(Collection collection) const
{
    const auto it = m_caches.find(collection);
    return m_source.empty() && it != m_caches.end() && it->second.isCurrent() && m_confirmedAt
        && currentTime() - *m_confirmedAt < maxPolicyAge;
}

bool SharedStore::isFirstRead(Collection collection) const
{
    return m_source.empty() && !m_hasRefusedReads && !canServe(collection)
        && (!m_confirmedAt || !m_caches.contains(collection));
}

void SharedStore::serve(std::string_view target, HttpGetServer::Reply reply)
{
    const auto queryStart = std::min(target.find('?'), target.size());
    const auto path = target.substr(0, queryStart);
    const auto query = target.substr(queryStart);
    const auto found = std::ranges::find_if(collections, [&](Collection collection) {
        return path.starts_with(feedPath) && path.substr(feedPath.size()) == toString(collection);
    });
    if (found == collections.end()) {
        reply(makeAnswer(http::status::not_found, {}, "text/plain"));
        return;
    }
    const auto collection = *found;
    const auto era = queryNumber(query, "era");
    if (hasOtherEra(era)) {
        reply(makeRefusal(http::status::gone));
        return;
    }
    const bool isList = query.starts_with("?list");
    if (isList && isFirstRead(collection)) {
        wait(Waiter { .collection = collection,
                 .isList = true,
                 .receivedAt = currentTime(),
                 .reply = std::move(reply),
                 .timer = asio::steady_timer(m_context) },
            firstReadWait);
        return;
    }
    if (!canServe(collection)) {
        reply(makeRefusal(http::status::service_unavailable));
        return;
    }
    if (isList) {
        replyListing(collection, currentTime(), reply);
        return;
    }
    wait(Waiter { .collection = collection,
             .revision = queryNumber(query, "watch"),
             .era = era,
             .receivedAt = currentTime(),
             .reply = std::move(reply),
             .timer = asio::steady_timer(m_context) },
        milliseconds(queryNumber(query, "waitMs")));
}

void SharedStore::wait(Waiter newWaiter, Duration duration)
{
    const auto id = ++m_lastWaiterId;
    auto& waiter = m_waiters.emplace(id, std::move(newWaiter)).first->second;
    if (!waiter.isList && hasChanges(waiter)) {
        answer(id);
        return;
    }
    // The timer may expire in the same event loop iteration in which the waiter is answered, so answer() looks it up.
    waiter.timer.expires_after(duration);
    waiter.timer.async_wait([this, id](SystemError ec) {
        if (!ec)
            answer(id);
    });
}

void SharedStore::replyListing(Collection collection, TimePoint receivedAt, const HttpGetServer::Reply& reply)
{
    const auto& cache = m_caches.at(collection);
    const auto& encoded
        = encodeOnce(m_encodedListings[collection], cache.revision(), 0, [&] { return encode(cache.listing()); });
    reply(
        makeAnswer(http::status::ok, addConfirmation(encoded, m_era, *m_confirmedAt - receivedAt), "application/json"));
}

bool SharedStore::hasChanges(const Waiter& waiter) const
{
    const auto& cache = m_caches.at(waiter.collection);
    if (cache.revision() <= waiter.revision)
        return false;
    const auto changes = cache.changesAfter(waiter.revision);
    return !changes || !changes.value().changes.empty();
}

void SharedStore::answer(WaiterId id)
{
    const auto node = m_waiters.extract(id);
    if (node.empty())
        return; // answered already
    const auto& [collection, isList, revision, era, receivedAt, reply, timer] = node.mapped();
    if (hasOtherEra(era)) {
        reply(makeRefusal(http::status::gone));
        return;
    }
    if (!canServe(collection)) {
        reply(makeRefusal(http::status::service_unavailable));
        return;
    }
    if (isList) {
        replyListing(collection, receivedAt, reply);
        return;
    }
    const auto& cache = m_caches.at(collection);
    const auto changes = cache.changesAfter(revision);
    if (!changes) {
        reply(makeRefusal(http::status::gone));
        return;
    }
    const auto& encoded
        = encodeOnce(m_encodedChanges[collection], cache.revision(), revision, [&] { return encode(changes.value()); });
    reply(
        makeAnswer(http::status::ok, addConfirmation(encoded, m_era, *m_confirmedAt - receivedAt), "application/json"));
}

const std::string& SharedStore::encodeOnce(
    EncodedAnswer& last, std::uint64_t revision, std::uint64_t since, const std::function<std::string()>& encodeAnswer)
{
    if (last.text.empty() || last.revision != revision || last.since != since)
        last = { revision, since, encodeAnswer() };
    return last.text;
}

void SharedStore::answerWaiters(Collection collection)
{
    const auto isDue = [&](const Waiter& it) {
        // The first read of the collection or of the policy may be the last one that a list waits for.
        if (it.isList)
            return canServe(it.collection);
        // Readers get each confirmation of the policy, because they serve requests with keys only while it is fresh.
        return it.collection == collection && (collection == Collection::Policy || hasChanges(it));
    };
    std::vector<WaiterId> dueWaiters;
    for (const auto& [id, waiter] : m_waiters) {
        if (isDue(waiter))
            dueWaiters.push_back(id);
    }
    for (const auto id : dueWaiters)
        answer(id);
}

void SharedStore::invalidateFeed(Collection failed)
{
    for (auto& [collection, cache] : m_caches) {
        if (failed == Collection::Policy || collection == failed)
            cache.markOutdated();
    }
    refuseFeedReads();
}

void SharedStore::setPolicyHidden(bool isHidden)
{
    if (isHidden && !m_isPolicyHidden)
        refuseFeedReads();
    m_isPolicyHidden = isHidden;
}

void SharedStore::refuseFeedReads()
{
    m_hasRefusedReads = true;
    m_confirmedAt.reset();
    while (!m_waiters.empty())
        answer(m_waiters.begin()->first);
}

} // namespace arbutuscrank::node
