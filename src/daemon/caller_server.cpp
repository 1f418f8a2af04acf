#include "daemon/caller_server.hpp"
#include "daemon/caller_sink.hpp"
#include "daemon/civetweb_headers.hpp"
#include "daemon/socket_finder.hpp"

#include <arbutuscrank/core/state.hpp>

#include <arpa/inet.h>
#include <civetweb.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace arbutuscrank {

namespace {

    constexpr std::size_t maxLookupEntries = 3;
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::string_view lookupPath = "/v1/lookup";

    // --- Reading a request -------------------------------------------------------------------------------------------

    std::string_view presentedKey(const mg_request_info& info)
    {
        const auto authorization = findHeader(info, "Authorization");
        if (authorization.size() > bearerPrefix.size()
            && equalsIgnoringCase(authorization.substr(0, bearerPrefix.size()), bearerPrefix))
            return authorization.substr(bearerPrefix.size());
        return findHeader(info, "X-Api-Key");
    }

    bool isIdempotentMethod(std::string_view method)
    {
        constexpr std::array<std::string_view, 5> idempotent { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
        return std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
    }

    /// A header with a value that is not allowed, or a path that is not allowed.
    struct InvalidInput {
        std::string name;
        std::string expected;
        std::string found;
    };

    /// Returns whether a path has a segment "." or "..", also in percent-encoding. The entry decides by the prefix of
    /// the path whether a request needs a key, and the target resolves such segments afterwards. Without this check, a
    /// path below an open prefix could reach a path that needs a key.
    bool hasDotSegment(std::string_view path)
    {
        std::string decoded(path.size() + 1, '\0');
        const int n = mg_url_decode(
            path.data(), static_cast<int>(path.size()), decoded.data(), static_cast<int>(decoded.size()), 0);
        if (n < 0 || decoded.find('\0') != static_cast<std::size_t>(n))
            return true;
        decoded.resize(static_cast<std::size_t>(n));
        std::replace(decoded.begin(), decoded.end(), '\\', '/');
        decoded += '/';
        return decoded.find("/./") != std::string::npos || decoded.find("/../") != std::string::npos;
    }

    std::variant<RequestArrived, InvalidInput> parseArrival(const mg_request_info& info, RequestId id)
    {
        if (hasDotSegment(info.request_uri))
            return InvalidInput { "path", "a path without segments \".\" and \"..\"", info.request_uri };
        RequestArrived arrival;
        arrival.id = id;
        arrival.method = info.request_method;
        arrival.path = info.local_uri;
        arrival.key = presentedKey(info);
        arrival.idempotencyKey = findHeader(info, "Idempotency-Key");
        arrival.idempotent = isIdempotentMethod(arrival.method);
        if (const auto declared = findHeader(info, "X-Idempotent"); !declared.empty()) {
            if (declared != "true" && declared != "false")
                return InvalidInput { "X-Idempotent", "true or false", std::string(declared) };
            arrival.idempotent = declared == "true";
        }
        if (const auto text = findHeader(info, "X-Request-Timeout-Ms"); !text.empty()) {
            std::int64_t milliseconds = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
            if (ec != std::errc {} || end != text.data() + text.size() || milliseconds < 1 || milliseconds > 30'000)
                return InvalidInput { "X-Request-Timeout-Ms", "1 to 30000", std::string(text) };
            arrival.timeout = std::chrono::milliseconds(milliseconds);
        }
        return arrival;
    }

    IncomingRequest toIncomingRequest(const mg_request_info& info)
    {
        IncomingRequest request;
        request.method = info.request_method;
        request.path = info.local_uri;
        if (info.query_string != nullptr)
            request.path.append("?").append(info.query_string);
        for (int n = 0; n < info.num_headers; ++n) {
            if (mayPassToTarget(info.http_headers[n].name))
                request.headers.emplace_back(toLowerCaseName(info.http_headers[n].name), info.http_headers[n].value);
        }
        return request;
    }

    enum class BodyResult { Complete, TooLarge, Incomplete };

    BodyResult readBody(mg_connection* connection, const mg_request_info& info, std::size_t maxBytes, std::string& body)
    {
        if (info.content_length > static_cast<long long>(maxBytes))
            return BodyResult::TooLarge;
        std::array<char, 16384> buf {};
        int n = 0;
        while (info.content_length != 0 && (n = mg_read(connection, buf.data(), buf.size())) > 0) {
            body.append(buf.data(), static_cast<std::size_t>(n));
            if (body.size() > maxBytes)
                return BodyResult::TooLarge;
        }
        const bool isComplete
            = info.content_length < 0 ? n == 0 : body.size() == static_cast<std::size_t>(info.content_length);
        return isComplete ? BodyResult::Complete : BodyResult::Incomplete;
    }

    std::uint32_t parseClientAddress(const mg_request_info& info)
    {
        std::array<char, 64> buf {};
        const auto* query = info.query_string;
        const bool hasClient = query != nullptr
            && mg_get_var(query, std::char_traits<char>::length(query), "client", buf.data(), buf.size()) > 0;
        in_addr address {};
        if (inet_pton(AF_INET, hasClient ? buf.data() : info.remote_addr, &address) != 1)
            return 0;
        return ntohl(address.s_addr);
    }

} // namespace

struct CallerServer::Connection {
    int socket = -1;
    std::string keyId; ///< id of the key that the last request presented
    bool isBusy = false; ///< a request is being served
    bool mustClose = false; ///< the key was withdrawn; the connection is closed after the current answer
};

CallerServer::CallerServer(
    CallerServerSettings settings, SessionServices services, SessionTable& sessions, Metrics& metrics)
    : m_settings(std::move(settings))
    , m_services(services)
    , m_sessions(sessions)
    , m_metrics(metrics)
{
}

CallerServer::~CallerServer() { stop(); }

Result<void> CallerServer::start()
{
    const auto threads = std::to_string(m_settings.threads);
    const std::array options { "listening_ports", m_settings.listenAddress.c_str(), "num_threads", threads.c_str(),
        "enable_keep_alive", "yes", "keep_alive_timeout_ms", "60000", "request_timeout_ms", "30000", "tcp_nodelay", "1",
        "max_request_size", "16384", "decode_url", "no", static_cast<const char*>(nullptr) };
    mg_callbacks callbacks {};
    callbacks.init_connection = &CallerServer::openConnection;
    // CivetWeb calls connection_closed too late: by then it has reset the user data, and the file descriptor of the
    // socket may be in use again.
    callbacks.connection_close = &CallerServer::closeConnection;
    // CivetWeb serves requests before mg_start() returns, so handlers that are set afterwards would miss the first
    // ones.
    callbacks.begin_request = &CallerServer::handleRequest;
    m_context = mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (m_context == nullptr)
        return Error { ErrorCode::Unavailable, "caller.listen", m_settings.listenAddress,
            "the address cannot be bound" };
    return outcome::success();
}

void CallerServer::stop()
{
    if (m_context != nullptr)
        mg_stop(std::exchange(m_context, nullptr));
}

void CallerServer::publishLookupTable(std::shared_ptr<const LookupTable> table)
{
    m_lookupTable.store(std::move(table));
}

// --- Connections -----------------------------------------------------------------------------------------------------

int CallerServer::openConnection(const mg_connection* connection, void** data)
{
    auto* server = static_cast<CallerServer*>(mg_get_user_data(mg_get_context(connection)));
    auto* connectionRecord = new Connection;
    const std::lock_guard lock(server->m_mutex);
    server->m_connections.insert(connectionRecord);
    *data = connectionRecord;
    return 0;
}

void CallerServer::closeConnection(const mg_connection* connection)
{
    auto* server = static_cast<CallerServer*>(mg_get_user_data(mg_get_context(connection)));
    const std::unique_ptr<Connection> connectionRecord(
        static_cast<Connection*>(mg_get_user_connection_data(connection)));
    const std::lock_guard lock(server->m_mutex);
    server->m_connections.erase(connectionRecord.get());
}

void CallerServer::recordPresentedKey(Connection& connection, std::string_view key, bool isBusy)
{
    const std::lock_guard lock(m_mutex);
    connection.keyId = key.substr(0, key.find('.'));
    connection.isBusy = isBusy;
}

void CallerServer::closeConnectionsOfKey(std::string_view /*account*/, std::string_view keyId)
{
    const std::lock_guard lock(m_mutex);
    for (auto* it : m_connections) {
        if (it->keyId != keyId)
            continue;
        it->mustClose = true;
        if (!it->isBusy && it->socket >= 0)
            shutdown(it->socket, SHUT_RDWR);
    }
}

// --- Requests --------------------------------------------------------------------------------------------------------

int CallerServer::handleRequest(mg_connection* connection)
{
    auto* server = static_cast<CallerServer*>(mg_get_user_data(mg_get_context(connection)));
    const std::string_view path = mg_get_request_info(connection)->local_uri;
    if (path == lookupPath)
        server->serveLookup(connection);
    else
        server->serveRequest(connection);
    return 1;
}

void CallerServer::serveRequest(mg_connection* connection)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const auto* info = mg_get_request_info(connection);
    auto& connectionRecord = *static_cast<Connection*>(mg_get_user_connection_data(connection));
    if (connectionRecord.socket < 0) {
        connectionRecord.socket = findSocket(info->remote_addr, static_cast<std::uint16_t>(info->remote_port),
            static_cast<std::uint16_t>(info->server_port), {});
    }
    recordPresentedKey(connectionRecord, presentedKey(*info).substr(0, keys::maxKeyBytes), true);
    CallerSink sink(connection, m_isDraining.load());
    auto request = toIncomingRequest(*info);
    const auto body = readBody(connection, *info, m_settings.maxBodyBytes, request.body);
    const auto arrival = parseArrival(*info, m_sessions.nextId());
    if (body == BodyResult::Incomplete) {
        mg_disable_connection_keep_alive(connection);
    } else if (body == BodyResult::TooLarge) {
        mg_disable_connection_keep_alive(connection);
        sink.refuse({ 413, "body-too-large", true, {},
            "request body: expected at most " + std::to_string(m_settings.maxBodyBytes) + " bytes" });
    } else if (const auto* invalid = std::get_if<InvalidInput>(&arrival)) {
        sink.refuse({ 400, "bad-header", true, {},
            invalid->name + ": expected " + invalid->expected + ", found " + invalid->found });
    } else {
        auto event = std::get<RequestArrived>(arrival);
        event.bodyBytes = request.body.size();
        const auto session = std::make_shared<RequestSession>(m_services, event.id, std::move(request), sink);
        session->setCallerSocket(connectionRecord.socket);
        m_sessions.add(session);
        const auto result = session->serve(event);
        session->setCallerSocket(-1);
        m_sessions.remove(event.id);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        if (result.isRefused)
            m_metrics.recordRefusal(result.account, result.service, result.refusalReason);
        else if (result.hasAnswerStarted)
            m_metrics.recordAnswer(result.account, result.service, elapsed.count(), result.isAnswerComplete);
        if (result.hasCallerDisconnected)
            mg_disable_connection_keep_alive(connection);
    }
    const std::lock_guard lock(m_mutex);
    connectionRecord.isBusy = false;
    if (connectionRecord.mustClose)
        mg_disable_connection_keep_alive(connection);
}

// --- Lookups ---------------------------------------------------------------------------------------------------------

void CallerServer::serveLookup(mg_connection* connection) const
{
    const auto* info = mg_get_request_info(connection);
    const auto table = m_lookupTable.load();
    CallerSink sink(connection, m_isDraining.load());
    if (!table)
        return sink.refuse({ 503, "no-configuration", true, std::chrono::seconds(1),
            "no configuration is in force yet, so there is no lookup table" });
    std::string body = R"({"entries":[)";
    bool isFirst = true;
    std::string account;
    if (const auto key = presentedKey(*info); !key.empty()) {
        const auto identity
            = m_services.core.inspect([key](const State& state, TimePoint) { return keys::authenticate(state, key); });
        account = identity ? identity->account : std::string();
    }
    for (const auto* it : table->lookup(parseClientAddress(*info), account, maxLookupEntries)) {
        body.append(isFirst ? "" : ",").append(R"({"address":")").append(it->address);
        body.append(R"(","region":")").append(it->region).append(R"("})");
        isFirst = false;
    }
    body.append(R"(],"ttlSeconds":)").append(std::to_string(table->ttlSeconds())).append("}");
    sink.sendJson(200, body, { "Cache-Control: max-age=" + std::to_string(table->ttlSeconds()) });
    m_metrics.recordLookup();
}

} // namespace arbutuscrank
