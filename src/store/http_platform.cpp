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
    constexpr int firstServerError = 500;

    /// Time that an answer to a watch may come after the wait that was asked for.
    constexpr std::chrono::milliseconds watchGrace { 1000 };

    std::optional<ObjectVersion> versionOf(const HttpAnswer& answer)
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

    std::string text(const nlohmann::json& tree, const char* name)
    {
        const auto it = tree.find(name);
        return it != tree.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Clients that are free; each call takes one, so that a waiting watch delays no other call.
    class ClientPool {
    public:
        explicit ClientPool(std::string address)
            : m_address(std::move(address))
        {
        }

        Result<HttpAnswer> request(std::string_view method, std::string_view path,
            const std::vector<std::string>& headers, std::string_view body, std::chrono::milliseconds timeout)
        {
            auto client = take();
            auto answer = client->request(method, path, headers, body, timeout);
            const std::lock_guard lock(m_mutex);
            m_free.push_back(std::move(client));
            return answer;
        }

        [[nodiscard]] const std::string& address() const noexcept { return m_address; }

    private:
        std::unique_ptr<HttpClient> take()
        {
            const std::lock_guard lock(m_mutex);
            if (m_free.empty())
                return std::make_unique<HttpClient>(m_address);
            auto client = std::move(m_free.back());
            m_free.pop_back();
            return client;
        }

        std::string m_address;
        std::mutex m_mutex;
        std::vector<std::unique_ptr<HttpClient>> m_free;
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

        Result<ObjectVersion> put(std::string_view key, std::string_view value, ObjectVersion expected) override
        {
            const auto condition
                = expected == 0 ? std::string("If-None-Match: *") : "If-Match: \"" + std::to_string(expected) + "\"";
            auto answer
                = m_clients.request("PUT", "/objects/" + std::string(key), { condition }, value, m_settings.timeout);
            if (!answer)
                return answer.error();
            const int status = answer.value().status;
            if (status == statusPreconditionFailed)
                return fail(ErrorCode::Conflict, "store.put", "the object has another version");
            // A server error after the request was read says nothing about whether it took effect.
            if (status >= firstServerError)
                return fail(ErrorCode::Unknown, "store.put", "status " + std::to_string(status));
            const auto version = versionOf(answer.value());
            if (status != statusOk || !version)
                return fail(ErrorCode::Unknown, "store.put", "unexpected answer, status " + std::to_string(status));
            return *version;
        }

        Result<StoredObject> watch(std::string_view key, ObjectVersion after, std::chrono::milliseconds wait) override
        {
            const auto path = "/objects/" + std::string(key) + "?watch=" + std::to_string(after)
                + "&timeoutMs=" + std::to_string(wait.count());
            return readObject("store.watch", path, wait + watchGrace);
        }

        Result<std::vector<VmListEntry>> listVms() override
        {
            auto answer = m_clients.request("GET", "/vms", {}, {}, m_settings.timeout);
            if (!answer)
                return answer.error();
            const auto tree = nlohmann::json::parse(answer.value().body, nullptr, false);
            if (answer.value().status != statusOk || !tree.is_array())
                return fail(ErrorCode::Protocol, "vms.list", "not a list of VMs");
            std::vector<VmListEntry> vms;
            for (const auto& it : tree) {
                if (!it.is_object() || text(it, "vm").empty())
                    return fail(ErrorCode::Protocol, "vms.list", "an entry has no name");
                vms.push_back({ text(it, "vm"), text(it, "region"), text(it, "failureDomain"),
                    text(it, "callerAddress"), text(it, "peerAddress"), text(it, "state") == "leaving" });
            }
            return vms;
        }

    private:
        [[nodiscard]] Error fail(ErrorCode code, std::string step, std::string detail) const
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
                return fail(ErrorCode::Timeout, step, "no change within the wait");
            if (status != statusOk)
                return fail(ErrorCode::Unavailable, step, "status " + std::to_string(status));
            const auto version = versionOf(answer.value());
            if (!version)
                return fail(ErrorCode::Protocol, step, "the answer has no version");
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
