#include <arbutuscrank/store/http_client.hpp>
#include <arbutuscrank/store/http_platform.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <mutex>

namespace arbutuscrank {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotModified = 304;
    constexpr int statusNotFound = 404;
    constexpr int statusPreconditionFailed = 412;
    constexpr int minServerErrorStatus = 500;

    /// Time that the answer to a watch may take beyond the requested wait.
    constexpr std::chrono::milliseconds watchAnswerMargin { 1000 };

    std::optional<ObjectVersion> parseVersion(const HttpAnswer& answer)
    {
        auto tag = answer.header("ETag");
        if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
            tag = tag.substr(1, tag.size() - 2);
        ObjectVersion version = 0;
        const auto [end, ec] = std::from_chars(tag.data(), tag.data() + tag.size(), version);
        if (ec != std::errc {} || end != tag.data() + tag.size() || version == 0)
            return std::nullopt;
        return version;
    }

    std::string stringField(const nlohmann::json& tree, const char* name)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Pool of HTTP clients. Each call uses a client of its own, so that a blocked watch delays no other call.
    class ClientPool {
    public:
        explicit ClientPool(std::string address)
            : m_address(std::move(address))
        {
        }

        Result<HttpAnswer> request(std::string_view method, std::string_view path,
            const std::vector<std::string>& headers, std::string_view body, std::chrono::milliseconds timeout)
        {
            auto client = acquire();
            auto answer = client->request(method, path, headers, body, timeout);
            const std::lock_guard lock(m_mutex);
            m_idleClients.push_back(std::move(client));
            return answer;
        }

        [[nodiscard]] const std::string& address() const noexcept { return m_address; }

    private:
        std::unique_ptr<HttpClient> acquire()
        {
            const std::lock_guard lock(m_mutex);
            if (m_idleClients.empty())
                return std::make_unique<HttpClient>(m_address);
            auto client = std::move(m_idleClients.back());
            m_idleClients.pop_back();
            return client;
        }

        std::string m_address;
        std::mutex m_mutex;
        std::vector<std::unique_ptr<HttpClient>> m_idleClients;
    };

    class HttpPlatform final : public Platform {
    public:
        explicit HttpPlatform(HttpPlatformSettings settings)
            : m_settings(std::move(settings))
            , m_clients(m_settings.address)
        {
        }

        Result<StoredObject> get(std::string_view key) override
        {
            return readObject("store.get", "/objects/" + std::string(key), m_settings.timeout);
        }

        Result<ObjectVersion> put(std::string_view key, std::string_view value, ObjectVersion expectedVersion) override
        {
            const auto condition = expectedVersion == 0 ? std::string("If-None-Match: *")
                                                        : "If-Match: \"" + std::to_string(expectedVersion) + "\"";
            auto answer
                = m_clients.request("PUT", "/objects/" + std::string(key), { condition }, value, m_settings.timeout);
            if (!answer)
                return answer.error();
            const int status = answer.value().status;
            if (status == statusPreconditionFailed)
                return makeError(ErrorCode::Conflict, "store.put", "the object does not have the expected version");
            // The platform may report a server error after it has carried out the write.
            if (status >= minServerErrorStatus)
                return makeError(ErrorCode::Unknown, "store.put", "unexpected HTTP status " + std::to_string(status));
            const auto version = parseVersion(answer.value());
            if (status != statusOk || !version)
                return makeError(ErrorCode::Unknown, "store.put",
                    "the status or the ETag of the answer is not valid; HTTP status " + std::to_string(status));
            return *version;
        }

        Result<StoredObject> watch(
            std::string_view key, ObjectVersion after, std::chrono::milliseconds maxWait) override
        {
            const auto path = "/objects/" + std::string(key) + "?watch=" + std::to_string(after)
                + "&timeoutMs=" + std::to_string(maxWait.count());
            return readObject("store.watch", path, maxWait + watchAnswerMargin);
        }

        Result<std::vector<VmListEntry>> listVms() override
        {
            auto answer = m_clients.request("GET", "/vms", {}, {}, m_settings.timeout);
            if (!answer)
                return answer.error();
            const auto tree = nlohmann::json::parse(answer.value().body, nullptr, false);
            if (answer.value().status != statusOk || !tree.is_array())
                return makeError(
                    ErrorCode::Protocol, "vms.list", "the answer does not have status 200 or is not a JSON array");
            std::vector<VmListEntry> vms;
            for (const auto& it : tree) {
                if (!it.is_object()) {
                    vms.emplace_back();
                    continue;
                }
                vms.push_back({ stringField(it, "vm"), stringField(it, "region"), stringField(it, "failureDomain"),
                    stringField(it, "callerAddress"), stringField(it, "peerAddress"),
                    stringField(it, "state") == "leaving" });
            }
            return vms;
        }

    private:
        [[nodiscard]] Error makeError(ErrorCode code, std::string step, std::string detail) const
        {
            return Error { code, std::move(step), m_clients.address(), std::move(detail) };
        }

        Result<StoredObject> readObject(
            const std::string& step, const std::string& path, std::chrono::milliseconds timeout)
        {
            auto answer = m_clients.request("GET", path, {}, {}, timeout);
            if (!answer)
                return answer.error();
            const int status = answer.value().status;
            if (status == statusNotFound)
                return StoredObject {};
            if (status == statusNotModified)
                return makeError(ErrorCode::Timeout, step, "the object did not change within the requested wait");
            if (status != statusOk)
                return makeError(ErrorCode::Unavailable, step, "unexpected HTTP status " + std::to_string(status));
            const auto version = parseVersion(answer.value());
            if (!version)
                return makeError(ErrorCode::Protocol, step, "the answer has no valid ETag");
            return StoredObject { *version, std::move(answer.value().body) };
        }

        HttpPlatformSettings m_settings;
        ClientPool m_clients;
    };

} // namespace

std::unique_ptr<Platform> makeHttpPlatform(HttpPlatformSettings settings)
{
    return std::make_unique<HttpPlatform>(std::move(settings));
}

} // namespace arbutuscrank
