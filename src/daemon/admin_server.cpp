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

    /// Longer than the core waits for entries, so that its answer always comes first.
    constexpr std::chrono::seconds proofWait { 4 };

    /// Attempts of an edit that loses races against other operators.
    constexpr int editAttempts = 5;

    std::string drawChangeId()
    {
        std::random_device random;
        std::string id = "change-";
        for (int n = 0; n < 4; ++n)
            id += std::to_string(random());
        return id;
    }

    std::string text(const Json& tree) { return tree.dump(2, ' ', false, Json::error_handler_t::replace); }

    Json toTree(const std::vector<Fault>& faults)
    {
        auto list = Json::array();
        for (const auto& it : faults)
            list.push_back({ { "path", it.path }, { "limit", it.limit }, { "found", it.found } });
        return list;
    }

    int statusOf(ErrorCode code)
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

    std::string errorText(const Error& error)
    {
        return text({ { "error", toString(error.code) }, { "step", error.step }, { "peer", error.peer },
            { "detail", error.detail } });
    }

    Error notFound(std::string what) { return { ErrorCode::NotFound, "config.edit", {}, std::move(what) }; }

    Error invalid(std::string what) { return { ErrorCode::InvalidArgument, "config.edit", {}, std::move(what) }; }

    std::optional<DrainKind> drainKindOf(std::string_view name)
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

    std::string field(const Json& tree, const char* name)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    double numberField(const Json& tree, const char* name, double otherwise)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_number() ? it->get<double>() : otherwise;
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
    , m_writer(platform)
{
}

AdminServer::~AdminServer() { stop(); }

Result<void> AdminServer::start()
{
    const std::array options { "listening_ports", m_settings.listenAddress.c_str(), "num_threads", "8",
        "enable_keep_alive", "yes", "request_timeout_ms", "30000", "tcp_nodelay", "1",
        static_cast<const char*>(nullptr) };
    mg_callbacks callbacks {};
    m_context = mg_start(&callbacks, this, const_cast<const char**>(options.data()));
    if (m_context == nullptr)
        return Error { ErrorCode::Unavailable, "admin.listen", m_settings.listenAddress, "cannot bind the address" };
    mg_set_request_handler(m_context, "/", &AdminServer::handle, this);
    return outcome::success();
}

void AdminServer::stop()
{
    if (m_context != nullptr)
        mg_stop(std::exchange(m_context, nullptr));
}

// --- Dispatch --------------------------------------------------------------------------------------------------------

int AdminServer::handle(mg_connection* connection, void* server)
{
    static_cast<AdminServer*>(server)->serve(connection);
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

void AdminServer::serve(mg_connection* connection)
{
    const auto* info = mg_get_request_info(connection);
    Request request { info->request_method, info->local_uri, readBody(connection),
        std::string(findHeader(*info, "If-Match")), std::string(findHeader(*info, "X-Change-Id")) };
    if (request.method != "GET" && request.changeId.empty())
        request.changeId = drawChangeId();
    Answer result;
    // The page of forms holds no data; it asks for the key and sends it with each call.
    if (request.method == "GET" && request.path == "/")
        result = { 200, std::string(adminPage()), "text/html; charset=utf-8" };
    else if (!isAuthorized(*info))
        result = { 401, text({ { "error", "unauthorized" }, { "detail", "Authorization: Bearer KEY is required" } }) };
    else
        result = answer(request);
    std::string head = "HTTP/1.1 " + std::to_string(result.status) + " "
        + mg_get_response_code_text(connection, result.status) + "\r\nContent-Type: " + result.contentType
        + "\r\nCache-Control: no-store\r\nContent-Length: " + std::to_string(result.body.size()) + "\r\n\r\n";
    head += result.body;
    mg_write(connection, head.data(), head.size());
}

AdminServer::Answer AdminServer::answer(const Request& request)
{
    return request.method == "GET" ? answerRead(request) : answerChange(request);
}

AdminServer::Answer AdminServer::answerRead(const Request& request)
{
    if (request.path == "/v1/config")
        return readConfiguration();
    if (request.path == "/v1/status")
        return status();
    if (request.path == "/v1/dump")
        return { 200, m_core.inspect([](const State& state, TimePoint now) { return dumpState(state, now); }) };
    if (request.path == "/metrics")
        return { 200, m_metrics.toText(), "text/plain; version=0.0.4" };
    if (request.path.starts_with(provePrefix))
        return prove(request.path.substr(provePrefix.size()));
    return { 404, text({ { "error", "not-found" }, { "detail", request.path } }) };
}

AdminServer::Answer AdminServer::answerChange(const Request& request)
{
    if (request.path == "/v1/config" && request.method == "PUT")
        return replaceConfiguration(request);
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
    return { 404, text({ { "error", "not-found" }, { "detail", request.method + " " + request.path } }) };
}

// --- The document ----------------------------------------------------------------------------------------------------

AdminServer::Answer AdminServer::readConfiguration()
{
    const auto current = m_writer.read();
    if (!current)
        return { statusOf(current.error().code), errorText(current.error()) };
    return { 200,
        text({ { "version", current.value().version }, { "changeId", current.value().manifest.changeId },
            { "document", Json::parse(toJson(current.value().document)) } }) };
}

AdminServer::Answer AdminServer::replaceConfiguration(const Request& request)
{
    ManifestVersion expected = 0;
    const auto* begin = request.ifMatch.data();
    const auto [end, ec] = std::from_chars(begin, begin + request.ifMatch.size(), expected);
    if (ec != std::errc {} || end != begin + request.ifMatch.size()) {
        return { 428,
            text({ { "error", "precondition-required" },
                { "detail",
                    "If-Match: the version that the change is based on, 0 for the first; found \"" + request.ifMatch
                        + "\"" } }) };
    }
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, text({ { "error", "invalid-document" }, { "faults", toTree(*faults) } }) };
    const auto applied = m_writer.apply(std::get<Document>(parsed), expected, request.changeId);
    if (!applied)
        return { statusOf(applied.error().code), errorText(applied.error()) };
    return { 200, text({ { "version", applied.value() }, { "changeId", request.changeId } }) };
}

AdminServer::Answer AdminServer::validateDocument(const Request& request) const
{
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, text({ { "valid", false }, { "faults", toTree(*faults) } }) };
    return { 200, text({ { "valid", true } }) };
}

AdminServer::Answer AdminServer::diffDocument(const Request& request)
{
    const auto parsed = parseDocument(request.body);
    if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed))
        return { 422, text({ { "error", "invalid-document" }, { "faults", toTree(*faults) } }) };
    const auto current = m_writer.read();
    if (!current)
        return { statusOf(current.error().code), errorText(current.error()) };
    auto list = Json::array();
    for (const auto& it : diffDocuments(current.value().document, std::get<Document>(parsed)))
        list.push_back({ { "path", it.path }, { "before", it.before }, { "after", it.after } });
    return { 200, text({ { "version", current.value().version }, { "differences", list } }) };
}

// --- Edits of one thing ----------------------------------------------------------------------------------------------

AdminServer::Answer AdminServer::edit(const std::string& changeId, const Edit& change)
{
    for (int n = 0;; ++n) {
        auto current = m_writer.read();
        if (!current)
            return { statusOf(current.error().code), errorText(current.error()) };
        auto document = current.value().document;
        if (const auto edited = change(document); !edited)
            return { statusOf(edited.error().code), errorText(edited.error()) };
        if (document == current.value().document)
            return { 200, text({ { "version", current.value().version }, { "changed", false } }) };
        const auto applied = m_writer.apply(document, current.value().version, changeId);
        if (applied)
            return { 200, text({ { "version", applied.value() }, { "changeId", changeId }, { "changed", true } }) };
        if (applied.error().code != ErrorCode::Conflict || n + 1 == editAttempts)
            return { statusOf(applied.error().code), errorText(applied.error()) };
    }
}

AdminServer::Answer AdminServer::withdrawAccount(const std::string& name, const std::string& changeId)
{
    return edit(changeId, [&name](Document& document) -> Result<void> {
        const auto account = findByName(document.accounts, name);
        if (account == document.accounts.end())
            return notFound("account \"" + name + "\" does not exist");
        account->withdrawn = true;
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::withdrawKey(
    const std::string& accountName, const std::string& key, const std::string& changeId)
{
    return edit(changeId, [&accountName, &key](Document& document) -> Result<void> {
        const auto account = findByName(document.accounts, accountName);
        if (account == document.accounts.end())
            return notFound("account \"" + accountName + "\" does not exist");
        const auto found = std::find_if(
            account->keys.begin(), account->keys.end(), [&key](const KeyEntry& it) { return it.id == key; });
        if (found == account->keys.end())
            return notFound("key \"" + key + "\" does not exist in account \"" + accountName + "\"");
        found->withdrawn = true;
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::changeDrain(const Request& request)
{
    const auto tree = Json::parse(request.body, nullptr, false);
    const auto kind = tree.is_object() ? drainKindOf(field(tree, "kind")) : std::nullopt;
    if (!kind || field(tree, "name").empty())
        return { 422, errorText(invalid("kind: target, vm, failureDomain, region or site; name: not empty")) };
    const Drain drain { *kind, field(tree, "name") };
    const bool remove = request.method == "DELETE";
    return edit(request.changeId, [&drain, remove](Document& document) -> Result<void> {
        std::erase(document.drains, drain);
        if (!remove)
            document.drains.push_back(drain);
        return outcome::success();
    });
}

AdminServer::Answer AdminServer::changeShift(const Request& request)
{
    const auto tree = Json::parse(request.body, nullptr, false);
    if (!tree.is_object() || field(tree, "name").empty())
        return { 422, errorText(invalid("name: not empty")) };
    Shift shift;
    shift.name = field(tree, "name");
    shift.service = field(tree, "service");
    shift.from = field(tree, "from");
    shift.to = field(tree, "to");
    shift.percent = numberField(tree, "percent", 0);
    shift.capPerSecond = numberField(tree, "capPerSecond", 0);
    shift.stepPercent = numberField(tree, "stepPercent", shift.stepPercent);
    shift.stepSeconds = numberField(tree, "stepSeconds", shift.stepSeconds);
    const bool remove = request.method == "DELETE";
    return edit(request.changeId, [&shift, remove](Document& document) -> Result<void> {
        std::erase_if(document.shifts, [&shift](const Shift& it) { return it.name == shift.name; });
        if (!remove)
            document.shifts.push_back(shift);
        return outcome::success();
    });
}

// --- What is in force where ------------------------------------------------------------------------------------------

std::optional<ProofResult> AdminServer::askEntries(const std::string& account)
{
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = ++m_lastQuery;
    }
    m_core.submit(ProofQueryReceived { id, account });
    std::unique_lock lock(m_mutex);
    if (!m_wake.wait_for(lock, proofWait, [this, id] { return m_results.contains(id); }))
        return std::nullopt;
    auto node = m_results.extract(id);
    return std::move(node.mapped());
}

void AdminServer::deliver(ProofResult result)
{
    const std::lock_guard lock(m_mutex);
    const auto id = result.queryId;
    m_results.insert_or_assign(id, std::move(result));
    m_wake.notify_all();
}

AdminServer::Answer AdminServer::status()
{
    struct Place {
        ManifestVersion version = 0;
        std::map<VmId, std::string> regions;
    };
    const auto place = m_core.inspect([](const State& state, TimePoint) {
        Place result { configuration::version(state), {} };
        result.regions[state.self.process.vm] = state.self.region;
        for (const auto& [vm, record] : state.membership.members)
            result.regions[vm] = record.member.region;
        return result;
    });
    const auto stored = m_writer.read();
    const auto newest = stored ? std::max(stored.value().version, place.version) : place.version;
    // The question about an unnamed account brings the version in force at each entry.
    const auto collected = askEntries({});
    Json regions = Json::object();
    std::map<VmId, ManifestVersion> versions;
    if (collected) {
        for (const auto& it : collected->replies)
            versions[it.process.vm] = it.manifestVersion;
    }
    for (const auto& [vm, region] : place.regions) {
        auto& line = regions[region];
        if (line.is_null())
            line = { { "confirmed", Json::array() }, { "unconfirmed", Json::array() } };
        const auto it = versions.find(vm);
        const bool confirmed = it != versions.end() && it->second >= newest;
        if (confirmed)
            line["confirmed"].push_back(vm);
        else
            line["unconfirmed"].push_back(
                { { "vm", vm }, { "version", it == versions.end() ? Json() : Json(it->second) } });
    }
    return { 200,
        text({ { "version", newest }, { "versionHere", place.version }, { "storeReachable", stored.has_value() },
            { "regions", regions } }) };
}

AdminServer::Answer AdminServer::prove(const std::string& account)
{
    const auto collected = askEntries(account);
    if (!collected)
        return { 503, text({ { "error", "unavailable" }, { "detail", "the entries were not asked in time" } }) };
    const auto toMs = [](std::int64_t micros) { return micros < 0 ? Json() : Json(micros / 1000); };
    auto entries = Json::array();
    for (const auto& it : collected->replies) {
        entries.push_back({ { "vm", it.process.vm }, { "incarnation", it.process.incarnation },
            { "version", it.manifestVersion }, { "refuses", it.withdrawn },
            { "refusingForMs", toMs(it.refusingForMicros) }, { "lastRequestMsAgo", toMs(it.lastRequestAgeMicros) },
            { "lastAnswerMsAgo", toMs(it.lastAnswerAgeMicros) }, { "inFlight", it.inFlight } });
    }
    const bool proven = collected->unconfirmed.empty();
    return { 200,
        text({ { "account", account }, { "stopped", proven }, { "entries", entries },
            { "unconfirmed", collected->unconfirmed } }) };
}

} // namespace arbutuscrank
