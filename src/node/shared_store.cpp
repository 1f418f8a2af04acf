#include "node/shared_store.hpp"

#include "node/clock.hpp"

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
    /// The coordinator is in the same failure domain and answers from memory.
    constexpr Duration listTimeout = milliseconds(500);
    /// Time that the answer of a watch may come after the end of its wait.
    constexpr Duration watchSlack = milliseconds(450);
    /// Age up to which a coordinator's read of the policy is passed on. A watch of a second confirms the policy as of
    /// its beginning, so that the age lies between one and two seconds and the time to the store.
    constexpr Duration freshFor = milliseconds(2600);
    constexpr auto collections
        = std::array { Collection::Policy, Collection::Targets, Collection::Evacuations, Collection::Members };

    // --- Codec ---

    Json encodeObject(const StoreObject& object) { return { object.name, object.revision, object.body }; }

    StoreObject decodeObject(const Json& json)
    {
        return { json.at(0).get<std::string>(), json.at(1).get<ObjectVersion>(), json.at(2).get<std::string>() };
    }

    std::string encode(const StoreListing& listing, Duration confirmedAfterCall)
    {
        auto objects = Json::array();
        for (const auto& object : listing.objects)
            objects.push_back(encodeObject(object));
        return Json {
            { "revision", listing.revision }, { "objects", std::move(objects) },
            { "confirmedAfterUs", confirmedAfterCall.count() }
        }.dump();
    }

    std::string encode(const StoreChanges& changes, Duration confirmedAfterCall)
    {
        auto objects = Json::array();
        auto removed = Json::array();
        for (const auto& change : changes.changes) {
            if (change.deleted)
                removed.push_back(encodeObject(change.object));
            else
                objects.push_back(encodeObject(change.object));
        }
        return Json {
            { "revision", changes.revision }, { "objects", std::move(objects) }, { "removed", std::move(removed) },
            { "confirmedAfterUs", confirmedAfterCall.count() }
        }.dump();
    }

    StoreListing decodeListing(const Json& json, TimePoint sentAt)
    {
        StoreListing out { .revision = json.at("revision").get<std::uint64_t>(),
            .confirmedAt = sentAt + Duration(json.at("confirmedAfterUs").get<std::int64_t>()) };
        for (const auto& object : json.at("objects"))
            out.objects.push_back(decodeObject(object));
        return out;
    }

    StoreChanges decodeChanges(const Json& json, TimePoint sentAt)
    {
        StoreChanges out { .revision = json.at("revision").get<std::uint64_t>(),
            .confirmedAt = sentAt + Duration(json.at("confirmedAfterUs").get<std::int64_t>()) };
        for (const auto& object : json.at("removed"))
            out.changes.push_back({ decodeObject(object), true });
        for (const auto& object : json.at("objects"))
            out.changes.push_back({ decodeObject(object), false });
        return out;
    }

    template <typename T, typename Decode>
    HttpChannel::Handler decodeWith(ObjectStore::Handler<T> done, std::string peer, Decode decode)
    {
        const auto sentAt = currentTime();
        return [done = std::move(done), peer = std::move(peer), decode, sentAt](Result<HttpChannel::Response> answer) {
            if (!answer) {
                done(answer.error());
                return;
            }
            const auto status = answer.value().result_int();
            if (status != 200) {
                done(Error { status == 410 ? ErrorCode::NotFound : ErrorCode::Unavailable, "feed.read", peer,
                    "status " + std::to_string(status) });
                return;
            }
            try {
                done(decode(Json::parse(answer.value().body()), sentAt));
            } catch (const Json::exception& ec) {
                done(Error { ErrorCode::Protocol, "feed.read", peer, ec.what() });
            }
        };
    }

    /// Value of a number in a query; zero if it is missing or unreadable.
    std::uint64_t queryNumber(std::string_view query, std::string_view name)
    {
        const auto at = query.find(std::string(name) + '=');
        std::uint64_t value = 0;
        if (at != std::string_view::npos)
            std::from_chars(query.data() + at + name.size() + 1, query.data() + query.size(), value);
        return value;
    }

} // namespace

SharedStore::SharedStore(asio::io_context& context, std::shared_ptr<ObjectStore> platform)
    : m_context(context)
    , m_platform(std::move(platform))
    , m_server(context, SimpleServer::LaterHandler([this](std::string_view target, SimpleServer::Reply reply) {
        serve(target, std::move(reply));
    }))
{
}

void SharedStore::setSource(const std::string& address)
{
    if (address == m_source)
        return;
    m_source = address;
    for (auto& [collection, kept] : std::exchange(m_channels, {}))
        kept->abandon();
    // What was read from the platform's store is no longer kept up.
    m_caches.clear();
    m_confirmedAt.reset();
    storeFailed();
}

HttpChannel& SharedStore::channel(Collection collection)
{
    auto& kept = m_channels[collection];
    if (!kept) {
        const auto endpoint = parseEndpoint(m_source);
        kept = std::make_shared<HttpChannel>(
            m_context, endpoint ? endpoint.value() : Tcp::endpoint(), m_source); // an unreadable one cannot be reached
    }
    return *kept;
}

void SharedStore::confirm(Collection collection, TimePoint sentAt)
{
    if (collection == Collection::Policy)
        m_confirmedAt = std::max(m_confirmedAt.value_or(sentAt), sentAt);
}

void SharedStore::list(Collection collection, const std::string& after, Handler<StoreListing> done)
{
    if (!m_source.empty()) {
        HttpChannel::Request request(
            http::verb::get, std::string(feedPath) + std::string(toString(collection)) + "?list", 11);
        channel(collection).call(std::move(request), listTimeout, decodeWith(std::move(done), m_source, decodeListing));
        return;
    }
    ++m_platformCalls;
    m_platform->list(collection, after,
        [this, collection, sentAt = currentTime(), isFirst = after.empty(), done = std::move(done)](
            Result<StoreListing> page) {
            if (page && m_source.empty()) {
                confirm(collection, sentAt);
                m_caches[collection].applyPage(page.value(), isFirst);
                wake(collection);
            }
            done(std::move(page));
        });
}

void SharedStore::watch(Collection collection, std::uint64_t revision, Duration wait, Handler<StoreChanges> done)
{
    if (!m_source.empty()) {
        HttpChannel::Request request(http::verb::get,
            std::string(feedPath) + std::string(toString(collection)) + "?watch=" + std::to_string(revision)
                + "&waitMs=" + std::to_string(wait / milliseconds(1)),
            11);
        channel(collection)
            .call(std::move(request), wait + watchSlack, decodeWith(std::move(done), m_source, decodeChanges));
        return;
    }
    ++m_platformCalls;
    m_platform->watch(collection, revision, wait,
        [this, collection, sentAt = currentTime(), done = std::move(done)](Result<StoreChanges> changes) {
            if (changes && m_source.empty()) {
                confirm(collection, sentAt);
                m_caches[collection].applyChanges(changes.value());
                wake(collection);
            }
            done(std::move(changes));
        });
}

void SharedStore::abandonReads(Collection collection)
{
    if (const auto it = m_channels.find(collection); it != m_channels.end())
        it->second->abandon();
    m_platform->abandonReads(collection);
}

void SharedStore::write(Collection collection, const StoreObject& object, Handler<ObjectVersion> done)
{
    ++m_platformCalls;
    m_platform->write(collection, object, std::move(done));
}

void SharedStore::remove(
    Collection collection, const std::string& name, ObjectVersion revision, Handler<ObjectVersion> done)
{
    ++m_platformCalls;
    m_platform->remove(collection, name, revision, std::move(done));
}

// --- Server ----------------------------------------------------------------------------------------------------------

bool SharedStore::isServing(Collection collection) const
{
    const auto it = m_caches.find(collection);
    return m_source.empty() && it != m_caches.end() && it->second.isLoaded() && m_confirmedAt
        && currentTime() - *m_confirmedAt < freshFor;
}

void SharedStore::serve(std::string_view target, SimpleServer::Reply reply)
{
    const auto question = std::min(target.find('?'), target.size());
    const auto path = target.substr(0, question);
    const auto query = target.substr(question);
    const auto found = std::ranges::find_if(collections, [&](Collection collection) {
        return path.starts_with(feedPath) && path.substr(feedPath.size()) == toString(collection);
    });
    if (found == collections.end()) {
        reply(makeAnswer(http::status::not_found, {}, "text/plain"));
        return;
    }
    const auto collection = *found;
    if (!isServing(collection)) {
        reply(makeAnswer(http::status::service_unavailable, {}, "text/plain"));
        return;
    }
    if (query.starts_with("?list")) {
        const auto age = *m_confirmedAt - currentTime();
        reply(makeAnswer(http::status::ok, encode(m_caches.at(collection).listing(), age), "application/json"));
        return;
    }
    const auto wait = milliseconds(queryNumber(query, "waitMs"));
    const auto id = ++m_lastWaiter;
    auto& waiter = m_waiters
                       .emplace(id,
                           Waiter { collection, queryNumber(query, "watch"), currentTime(), std::move(reply),
                               asio::steady_timer(m_context, wait) })
                       .first->second;
    if (hasNews(waiter)) {
        answer(id);
        return;
    }
    // The wait may end in the same round of the event loop in which the waiter is answered.
    waiter.timer.async_wait([this, id](SystemError ec) {
        if (!ec)
            answer(id);
    });
}

bool SharedStore::hasNews(const Waiter& waiter) const
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
    const auto& [collection, revision, since, reply, timer] = node.mapped();
    if (!isServing(collection)) {
        reply(makeAnswer(http::status::service_unavailable, {}, "text/plain"));
        return;
    }
    const auto changes = m_caches.at(collection).changesAfter(revision);
    if (!changes)
        reply(makeAnswer(http::status::gone, {}, "text/plain"));
    else
        reply(makeAnswer(http::status::ok, encode(changes.value(), *m_confirmedAt - since), "application/json"));
}

void SharedStore::wake(Collection collection)
{
    std::vector<WaiterId> due;
    for (const auto& [id, waiter] : m_waiters) {
        // Each confirmation of the policy is passed on: it keeps requests with keys going.
        if (waiter.collection == collection && (collection == Collection::Policy || hasNews(waiter)))
            due.push_back(id);
    }
    for (const auto id : due)
        answer(id);
}

void SharedStore::storeFailed()
{
    m_confirmedAt.reset();
    while (!m_waiters.empty())
        answer(m_waiters.begin()->first);
}

} // namespace arbutuscrank::node
