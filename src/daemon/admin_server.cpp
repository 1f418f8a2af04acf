#include "daemon/admin_server.hpp"
#include "daemon/admin_page.hpp"
#include "daemon/caller_sink.hpp"
#include "daemon/civetweb_headers.hpp"
#include "daemon/incoming_request.hpp"
#include "daemon/state_dump.hpp"

#include <arbutuscrank/config.hpp>

#include <civetweb.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace arbutuscrank {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxDocumentBytes = 64U << 20U;
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::string_view accountsPrefix = "/v1/accounts/";
    constexpr std::string_view provePrefix = "/v1/prove/";

    /// Longer than the core waits for the replies of other entries, so that the core's result always arrives first.
    constexpr std::chrono::seconds proofTimeout { 4 };

    /// Attempts of an edit whose compare-and-set fails because of concurrent changes.
    constexpr int maxEditAttempts = 5;

    std::string makeChangeId()
    {
        std::random_device random;
        std::string id = "change-";
        for (int n = 0; n < 4; ++n)
            id += std::to_string(random());
        return id;
    }

    std::string formatJson(const Json& tree) { return tree.dump(2, ' ', false, Json::error_handler_t::replace); }

    Json faultsToJson(const std::vector<Fault>& faults)
    {
        auto list = Json::array();
        for (const auto& it : faults)
            list.push_back({ { "path", it.path }, { "limit", it.limit }, { "found", it.found } });
        return list;
    }

    int httpStatusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::InvalidArgument:
            return 422;
        case ErrorCode::NotFound:
            return 404;
        case ErrorCode::Conflict:
            return 409;
        case ErrorCode::Unknown:
        case ErrorCode::Timeout:
            return 504;
        default:
            return 503;
        }
    }

    std::string errorBody(const Error& error)
    {
        return formatJson({ { "error", toString(error.code) }, { "step", error.step }, { "peer", error.peer },
            { "detail", error.detail } });
    }

    Error makeNotFoundError(std::string detail)
    {
        return { ErrorCode::NotFound, "config.edit", {}, std::move(detail) };
    }

    Error makeInvalidArgumentError(std::string detail)
    {
        return { ErrorCode::InvalidArgument, "config.edit", {}, std::move(detail) };
    }

    std::optional<DrainKind> parseDrainKind(std::string_view name)
    {
        constexpr std::array<std::pair<std::string_view, DrainKind>, 5> kinds { { { "target", DrainKind::Target },
            { "vm", DrainKind::Vm }, { "failureDomain", DrainKind::FailureDomain }, { "region", DrainKind::Region },
            { "site", DrainKind::Site } } };
        for (const auto& [text, kind] : kinds) {
            if (text == name)
                return kind;
        }
        return std::nullopt;
    }

    std::string stringField(const Json& tree, const char* name)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    double numberField(const Json& tree, const char* name, double defaultValue)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_number() ? it->get<double>() : defaultValue;
    }

    template <typename T> auto findByName(std::vector<T>& list, std::string_view name)
    {
        return std::find_if(list.begin(), list.end(), [name](const T& it) { return it.name == name; });
    }

    std::string readBody(mg_connection* connection)
    {
        std::string body;
        std::array<char, 16384> buf {};
        int n = 0;
        while (body.size() <= maxDocumentBytes && (n = mg_read(connection, buf.data(), buf.size())) > 0)
            body.append(buf.data(), static_cast<std::size_t>(n));
        return body;
    }

} // namespace

AdminServer::AdminServer(AdminServerSettings settings, CoreRunner& core, Platform& platform, const Metrics& metrics)
    : m_settings(std::move(settings))
    , m_core(core)
    , m_metrics(metrics)
    , m_configurationWriter(platform)
{
}

AdminServer::~AdminServer() { stop(); }

Result<void> AdminServer::start()
{
    const std::array options { "listening_ports", m_settings.listenAddress.c_str(), "num_threads", "8",
        "enable_keep_alive", "yes", "request_timeout_ms", "30000", "tcp_nodelay", "1",
        static_cast<const char*>(nullptr) };
    mg_callbacks callbacks {};
    // CivetWeb serves requests before mg_start() returns, so handlers that are set afterwards would miss the first
    // ones.
    callbacks.begin_request = &AdminServer::handleRequest;
    m_context = mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (m_context == nullptr)
        return Error { ErrorCode::Unavailable, "admin.listen", m_settings.listenAddress,
            "the address cannot be bound" };
    return outcome::success();
}

void AdminServer::stop()
{
    if (m_context != nullptr)
        mg_stop(std::exchange(m_context, nullptr));
}

// --- Routing ---------------------------------------------------------------------------------------------------------

int AdminServer::handleRequest(mg_connection* connection)
{
    static_cast<AdminServer*>(mg_get_user_data(mg_get_context(connection)))->serveRequest(connection);
    return 1;
}

bool AdminServer::isAuthorized(const mg_request_info& info) const
{
    const auto authorization = findHeader(info, "Authorization");
    if (!authorization.starts_with(bearerPrefix))
        return false;
    const auto digest = sha256Hex(authorization.substr(bearerPrefix.size()));
    return digest.size() == m_settings.keyDigest.size()
        && CRYPTO_memcmp(digest.data(), m_settings.keyDigest.data(), digest.size()) == 0;
}

void AdminServer::serveRequest(mg_connection* connection)
{
    const auto* info = mg_get_request_info(connection);
    Request request { info->request_method, info->local_uri, readBody(connection),
        std::string(findHeader(*info, "If-Match")), std::string(findHeader(*info, "X-Change-Id")) };
    if (request.method != "GET" && request.changeId.empty())
        request.changeId = makeChangeId();
    Answer result;
    // The page of forms needs no key: it holds no data, and its script sends the operator's key with each call.
    if (request.method == "GET" && request.path == "/")
        result = { 200, std::string(adminPage()), "text/html; charset=utf-8" };
    else if (!isAuthorized(*info))
        result = { 401,
            formatJson({ { "error", "unauthorized" },
                { "detail", "the header \"Authorization: Bearer KEY\" is missing or has a wrong key" } }) };
    else
        result = dispatch(request);
    std::string head = "HTTP/1.1 " + std::to_string(result.status) + " "
        + mg_get_response_code_text(connection, result.status) + "\r\nContent-Type: " + result.contentType
        + "\r\nCache-Control: no-store\r\nContent-Length: " + std::to_string(result.body.size()) + "\r\n\r\n";
    head += result.body;
    mg_write(connection, head.data(), head.size());
}

AdminServer::Answer AdminServer::dispatch(const Request& request)
{
    return request.method == "GET" ? dispatchRead(request) : dispatchChange(request);
}

AdminServer::Answer AdminServer::dispatchRead(const Request& request)
{
    if (request.path == "/v1/config")
        return readDocument();
    if (request.path == "/v1/status")
        return reportStatus();
    if (request.path == "/v1/dump")
        return { 200, m_core.inspect([](const State& state, TimePoint now) { return dumpState(state, now); }) };
    if (request.path == "/metrics")
        return { 200, m_metrics.toText(), "text/plain; version=0.0.4" };
    if (request.path.starts_with(provePrefix))
        return reportProof(request.path.substr(provePrefix.size()));
    return { 404, formatJson({ { "error", "not-found" }, { "detail", request.path } }) };
}

AdminServer::Answer AdminServer::dispatchChange(const Request& request)
{
    if (request.path == "/v1/config" && request.method == "PUT")
        return replaceDocument(request);
    if (request.path == "/v1/config/validate" && request.method == "POST")
        return validateDocument(request);
    if (request.path == "/v1/config/diff" && request.method == "POST")
        return diffDocument(request);
    if (request.path == "/v1/drains")
        return changeDrain(request);
    if (request.path == "/v1/shifts")
        return changeShift(request);
    constexpr std::string_view withdraw = "/withdraw";
    if (request.path.starts_with(accountsPrefix) && request.path.ends_with(withdraw) && request.method == "POST") {
        auto name = request.path.substr(accountsPrefix.size());
        name.resize(name.size() - withdraw.size());
        const auto keys = name.find("/keys/");
        if (keys != std::string::npos)
            return withdrawKey(
                name.substr(0, keys), name.substr(keys + std::string_view("/keys/").size()), request.changeId);
        return withdrawAccount(name, request.changeId);
    }
    return { 404, formatJson({ { "error", "not-found" }, { "detail", request.method + " " + request.path } }) };
}

// --- Document --------------------------------------------------------------------------------------------------------

AdminServer::Answer AdminServer::readDocument()
{
    const auto current = m_configurationWriter.read();
    if (!current)
        return { httpStatusOf(current.error().code), errorBody(current.error()) };
    return { 200,
        formatJson({ { "version", current.value().version }, { "changeId", current.value().manifest.changeId },
            { "document", Json::parse(toJson(current.value().document)) } }) };
}

AdminServer::Answer AdminServer::replaceDocument(const Request& request)
{
    ManifestVersion expected = 0;
    const auto* begin = request.ifMatch.data();
    const auto [end, ec] = std::from_chars(begin, begin + request.ifMatch.size(), expected);
    if (ec != std::errc {} || end != begin + request.ifMatch.size()) {
        return { 428,
            formatJson({ { "error", "precondition-required" },
                { "detail",
                    "If-Match: expected the version that the change is based on, 0 for the first configuration; found "
                    "\"" + request.ifMatch
                        + "\"" } }) };
    }
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, formatJson({ { "error", "invalid-document" }, { "faults", faultsToJson(*faults) } }) };
    const auto applied = m_configurationWriter.apply(std::get<Document>(parsed), expected, request.changeId);
    if (!applied)
        return { httpStatusOf(applied.error().code), errorBody(applied.error()) };
    return { 200, formatJson({ { "version", applied.value() }, { "changeId", request.changeId } }) };
}

AdminServer::Answer AdminServer::validateDocument(const Request& request) const
{
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, formatJson({ { "valid", false }, { "faults", faultsToJson(*faults) } }) };
    return { 200, formatJson({ { "valid", true } }) };
}

AdminServer::Answer AdminServer::diffDocument(const Request& request)
{
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, formatJson({ { "error", "invalid-document" }, { "faults", faultsToJson(*faults) } }) };
    const auto current = m_configurationWriter.read();
    if (!current)
        return { httpStatusOf(current.error().code), errorBody(current.error()) };
    auto list = Json::array();
    for (const auto& it : diffDocuments(current.value().document, std::get<Document>(parsed)))
        list.push_back({ { "path", it.path }, { "before", it.before }, { "after", it.after } });
    return { 200, formatJson({ { "version", current.value().version }, { "differences", list } }) };
}

// --- Edits of one object ---------------------------------------------------------------------------------------------

AdminServer::Answer AdminServer::editDocument(const std::string& changeId, const Edit& change)
{
    for (int n = 0;; ++n) {
        auto current = m_configurationWriter.read();
        if (!current)
            return { httpStatusOf(current.error().code), errorBody(current.error()) };
        auto document = current.value().document;
        if (const auto edited = change(document); !edited)
            return { httpStatusOf(edited.error().code), errorBody(edited.error()) };
        if (document == current.value().document)
            return { 200, formatJson({ { "version", current.value().version }, { "changed", false } }) };
        const auto applied = m_configurationWriter.apply(document, current.value().version, changeId);
        if (applied)
            return { 200,
                formatJson({ { "version", applied.value() }, { "changeId", changeId }, { "changed", true } }) };
        if (applied.error().code != ErrorCode::Conflict || n + 1 == maxEditAttempts)
            return { httpStatusOf(applied.error().code), errorBody(applied.error()) };
    }
}

AdminServer::Answer AdminServer::withdrawAccount(const std::string& name, const std::string& changeId)
{
    return editDocument(changeId, [&name](Document& document) -> Result<void> {
        const auto account = findByName(document.accounts, name);
        if (account == document.accounts.end())
            return makeNotFoundError("account \"" + name + "\" does not exist");
        account->withdrawn = true;
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::withdrawKey(
    const std::string& accountName, const std::string& key, const std::string& changeId)
{
    return editDocument(changeId, [&accountName, &key](Document& document) -> Result<void> {
        const auto account = findByName(document.accounts, accountName);
        if (account == document.accounts.end())
            return makeNotFoundError("account \"" + accountName + "\" does not exist");
        const auto found = std::find_if(
            account->keys.begin(), account->keys.end(), [&key](const KeyEntry& it) { return it.id == key; });
        if (found == account->keys.end())
            return makeNotFoundError("key \"" + key + "\" does not exist in account \"" + accountName + "\"");
        found->withdrawn = true;
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::changeDrain(const Request& request)
{
    const auto tree = Json::parse(request.body, nullptr, false);
    const auto kind = tree.is_object() ? parseDrainKind(stringField(tree, "kind")) : std::nullopt;
    if (!kind || stringField(tree, "name").empty())
        return { 422,
            errorBody(makeInvalidArgumentError(
                "kind: expected target, vm, failureDomain, region or site; name: expected a text that is not empty")) };
    const Drain drain { *kind, stringField(tree, "name") };
    const bool isRemoval = request.method == "DELETE";
    return editDocument(request.changeId, [&drain, isRemoval](Document& document) -> Result<void> {
        std::erase(document.drains, drain);
        if (!isRemoval)
            document.drains.push_back(drain);
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::changeShift(const Request& request)
{
    const auto tree = Json::parse(request.body, nullptr, false);
    if (!tree.is_object() || stringField(tree, "name").empty())
        return { 422, errorBody(makeInvalidArgumentError("name: expected a text that is not empty")) };
    Shift shift;
    shift.name = stringField(tree, "name");
    shift.service = stringField(tree, "service");
    shift.from = stringField(tree, "from");
    shift.to = stringField(tree, "to");
    shift.percent = numberField(tree, "percent", 0);
    shift.capPerSecond = numberField(tree, "capPerSecond", 0);
    shift.stepPercent = numberField(tree, "stepPercent", shift.stepPercent);
    shift.stepSeconds = numberField(tree, "stepSeconds", shift.stepSeconds);
    const bool isRemoval = request.method == "DELETE";
    return editDocument(request.changeId, [&shift, isRemoval](Document& document) -> Result<void> {
        std::erase_if(document.shifts, [&shift](const Shift& it) { return it.name == shift.name; });
        if (!isRemoval)
            document.shifts.push_back(shift);
        return outcome::success();
    });
}

// --- Status and proof ------------------------------------------------------------------------------------------------

std::optional<ProofResult> AdminServer::queryEntries(const std::string& account)
{
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = ++m_lastQueryId;
    }
    m_core.submit(ProofQueryReceived { id, account });
    std::unique_lock lock(m_mutex);
    if (!m_proofArrived.wait_for(lock, proofTimeout, [this, id] { return m_proofResults.contains(id); }))
        return std::nullopt;
    auto node = m_proofResults.extract(id);
    return std::move(node.mapped());
}

void AdminServer::deliverProof(ProofResult result)
{
    const std::lock_guard lock(m_mutex);
    const auto id = result.queryId;
    m_proofResults.insert_or_assign(id, std::move(result));
    m_proofArrived.notify_all();
}

AdminServer::Answer AdminServer::reportStatus()
{
    struct LocalView {
        ManifestVersion version = 0;
        std::map<VmId, std::string> regions;
    };
    const auto local = m_core.inspect([](const State& state, TimePoint) {
        LocalView result { configuration::version(state), {} };
        result.regions[state.self.process.vm] = state.self.region;
        for (const auto& [vm, record] : state.membership.members)
            result.regions[vm] = record.member.region;
        return result;
    });
    const auto stored = m_configurationWriter.read();
    const auto newestVersion = stored ? std::max(stored.value().version, local.version) : local.version;
    // Each reply to a proof query carries the version in force; an empty account name asks for the version alone.
    const auto proof = queryEntries({});
    Json regions = Json::object();
    std::map<VmId, ManifestVersion> versionsInForce;
    if (proof) {
        for (const auto& it : proof->replies)
            versionsInForce[it.process.vm] = it.manifestVersion;
    }
    for (const auto& [vm, region] : local.regions) {
        auto& regionStatus = regions[region];
        if (regionStatus.is_null())
            regionStatus = { { "confirmed", Json::array() }, { "unconfirmed", Json::array() } };
        const auto it = versionsInForce.find(vm);
        const bool isConfirmed = it != versionsInForce.end() && it->second >= newestVersion;
        if (isConfirmed)
            regionStatus["confirmed"].push_back(vm);
        else
            regionStatus["unconfirmed"].push_back(
                { { "vm", vm }, { "version", it == versionsInForce.end() ? Json() : Json(it->second) } });
    }
    return { 200,
        formatJson({ { "version", newestVersion }, { "versionHere", local.version },
            { "storeReachable", stored.has_value() }, { "regions", regions } }) };
}

AdminServer::Answer AdminServer::reportProof(const std::string& account)
{
    const auto proof = queryEntries(account);
    if (!proof)
        return { 503,
            formatJson({ { "error", "unavailable" }, { "detail", "the proof query returned no result within 4 s" } }) };
    const auto toMilliseconds = [](std::int64_t micros) { return micros < 0 ? Json() : Json(micros / 1000); };
    auto entries = Json::array();
    for (const auto& it : proof->replies) {
        entries.push_back(
            { { "vm", it.process.vm }, { "incarnation", it.process.incarnation }, { "version", it.manifestVersion },
                { "refuses", it.withdrawn }, { "refusingForMs", toMilliseconds(it.refusingForMicros) },
                { "lastRequestMsAgo", toMilliseconds(it.lastRequestAgeMicros) },
                { "lastAnswerMsAgo", toMilliseconds(it.lastAnswerAgeMicros) }, { "inFlight", it.inFlight } });
    }
    const bool hasStopped = proof->unconfirmed.empty();
    return { 200,
        formatJson({ { "account", account }, { "stopped", hasStopped }, { "entries", entries },
            { "unconfirmed", proof->unconfirmed } }) };
}

} // namespace arbutuscrank
