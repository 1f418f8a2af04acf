#include "config/checks.hpp"
#include "config/json_text.hpp"
#include "config/json_writer.hpp"
#include "config/object_reader.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace arbutuscrank {

namespace config {

    namespace {

        using nlohmann::json;

        // 100,000 accounts of 500 bytes make shards of 0.8 MB, and one changed account costs one shard.
        constexpr std::uint64_t accountShards = 64;

        // A chunk of client blocks ends where the hash of a block says so, on average after this many blocks. An
        // inserted block then changes its own chunk only and not the ones behind it.
        constexpr std::uint64_t meanBlocksPerChunk = 8192;
        // The next block may add up to maxNameBytes and punctuation, so the limit is below maxPartBytes.
        constexpr std::size_t blockChunkBytes = 900'000;
        // Quotation marks, a comma, a colon and brackets around a block and the name of its group.
        constexpr std::size_t blockPunctuationBytes = 12;

        std::uint64_t hashOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

        std::string numbered(const char* format, std::uint64_t number)
        {
            std::array<char, 32> buf {};
            std::snprintf(buf.data(), buf.size(), format, static_cast<unsigned long long>(number));
            return buf.data();
        }

        /// \brief Indexes of the elements of a list in the order of a key.
        template <typename T, typename Key> std::vector<std::size_t> sortedOrder(const std::vector<T>& values, Key key)
        {
            std::vector<std::pair<decltype(key(values.front())), std::size_t>> keys;
            keys.reserve(values.size());
            for (std::size_t n = 0; n < values.size(); ++n)
                keys.emplace_back(key(values[n]), n);
            std::sort(keys.begin(), keys.end());
            std::vector<std::size_t> order;
            order.reserve(keys.size());
            for (const auto& it : keys)
                order.push_back(it.second);
            return order;
        }

        template <typename T, typename Key> void sortBy(std::vector<T>& values, Key key)
        {
            std::vector<T> result;
            result.reserve(values.size());
            for (const auto n : sortedOrder(values, key))
                result.push_back(std::move(values[n]));
            values = std::move(result);
        }

        constexpr auto byName = [](const auto& value) { return std::string_view(value.name); };

        constexpr auto byAddress = [](const ClientBlock& value) {
            const auto block = parseCidr(value.cidr).value_or(AddressBlock {});
            return std::pair(block.first, ~block.last);
        };

        /// \brief Client blocks as {"blocks":{group:[cidr,...]}}, half the size of a list of objects.
        void splitBlocks(const std::vector<ClientBlock>& blocks, std::map<std::string, std::string>& parts)
        {
            std::uint64_t chunks = 0;
            std::size_t bytes = 0;
            auto chunk = json::object();
            const auto finish = [&] {
                parts[numbered("blocks/%04llu", chunks++)] = canonicalText({ { "blocks", std::move(chunk) } });
                chunk = json::object();
                bytes = 0;
            };
            for (const auto n : sortedOrder(blocks, byAddress)) {
                const auto& it = blocks[n];
                auto& cidrs = chunk[it.group];
                bytes += it.cidr.size() + blockPunctuationBytes + (cidrs.empty() ? it.group.size() : 0);
                cidrs.push_back(it.cidr);
                if (bytes >= blockChunkBytes || hashOf(it.cidr) % meanBlocksPerChunk == 0)
                    finish();
            }
            if (!chunk.empty())
                finish();
        }

        // --- Joining ---

        /// \brief Reader of a part: a document with some of its fields.
        class PartReader {
        public:
            PartReader(const json& node, FaultList& faults)
                : m_node(node)
                , m_faults(faults)
                , m_reader(node, m_path, faults)
            {
            }

            template <typename T> void list(std::string_view name, std::vector<T>& values)
            {
                std::vector<T> further;
                m_reader.list(name, further, 0);
                values.insert(
                    values.end(), std::make_move_iterator(further.begin()), std::make_move_iterator(further.end()));
            }

            void blocks(std::vector<ClientBlock>& values)
            {
                const auto it = m_node.find("blocks");
                if (it == m_node.end() || m_node.size() != 1 || !it->is_object()) {
                    m_faults.add("", "client blocks by group", "another part");
                    return;
                }
                for (const auto& [group, cidrs] : it->items()) {
                    if (!cidrs.is_array()) {
                        m_faults.add("/blocks", "an array", "another value");
                        return;
                    }
                    for (const auto& cidr : cidrs) {
                        if (cidr.is_string())
                            values.push_back({ cidr.get<std::string>(), group });
                        else
                            m_faults.add("/blocks", "a text", "another value");
                    }
                }
            }

            ObjectReader& fields() { return m_reader; }

        private:
            const json& m_node;
            Path m_path;
            FaultList& m_faults;
            ObjectReader m_reader;
        };

        /// \brief Adds the content of a part to a document. \returns whether the name is that of a part
        bool joinPart(std::string_view name, const json& node, Document& document, FaultList& faults)
        {
            PartReader reader(node, faults);
            if (name.starts_with("blocks/")) {
                reader.blocks(document.steering.blocks);
                return true;
            }
            if (name.starts_with("accounts/")) {
                reader.list("accounts", document.accounts);
            } else if (name.starts_with("services/")) {
                reader.list("services", document.services);
            } else if (name == "regions") {
                reader.fields().number("schema", document.schema, limits::schema);
                reader.list("regions", document.regions);
                reader.list("links", document.links);
            } else if (name == "shifts") {
                reader.list("shifts", document.shifts);
            } else if (name == "drains") {
                reader.list("drains", document.drains);
            } else if (name == "steering") {
                reader.fields().number("lookupTtlSeconds", document.steering.lookupTtlSeconds, limits::lookupTtl);
                reader.list("sites", document.steering.sites);
                reader.list("groups", document.steering.groups);
            } else {
                return false;
            }
            reader.fields().reportUnknown();
            return true;
        }

    } // namespace

} // namespace config

void normalize(Document& document)
{
    config::sortBy(document.accounts, config::byName);
    config::sortBy(document.services, config::byName);
    config::sortBy(document.steering.blocks, config::byAddress);
}

std::map<std::string, std::string> splitDocument(const Document& document)
{
    using config::canonicalText;
    using config::ObjectWriter;
    using nlohmann::json;

    std::map<std::string, std::string> parts;
    parts["regions"]
        = canonicalText({ { "schema", document.schema }, { "regions", ObjectWriter::writeList(document.regions) },
            { "links", ObjectWriter::writeList(document.links) } });
    std::map<std::uint64_t, json> shards;
    for (const auto n : config::sortedOrder(document.accounts, config::byName)) {
        const auto& account = document.accounts[n];
        shards[config::hashOf(account.name) % config::accountShards].push_back(ObjectWriter::write(account));
    }
    for (auto& [shard, accounts] : shards)
        parts[config::numbered("accounts/%02llu", shard)] = canonicalText({ { "accounts", std::move(accounts) } });
    for (const auto& it : document.services)
        parts["services/" + it.name] = canonicalText({ { "services", json::array({ ObjectWriter::write(it) }) } });
    if (!document.shifts.empty())
        parts["shifts"] = canonicalText({ { "shifts", ObjectWriter::writeList(document.shifts) } });
    if (!document.drains.empty())
        parts["drains"] = canonicalText({ { "drains", ObjectWriter::writeList(document.drains) } });
    const auto& steering = document.steering;
    parts["steering"] = canonicalText({ { "lookupTtlSeconds", steering.lookupTtlSeconds },
        { "sites", ObjectWriter::writeList(steering.sites) }, { "groups", ObjectWriter::writeList(steering.groups) } });
    config::splitBlocks(steering.blocks, parts);
    return parts;
}

std::optional<Document> joinDocument(const std::map<std::string, std::string>& parts)
{
    if (!parts.contains("regions") || !parts.contains("steering"))
        return std::nullopt;
    Document document;
    config::FaultList faults;
    for (const auto& [name, text] : parts) {
        if (text.size() > maxPartBytes)
            return std::nullopt;
        const auto node = config::parseJson(text, faults);
        if (!node.is_object() || !config::joinPart(name, node, document, faults) || !faults.empty())
            return std::nullopt;
    }
    config::checkDocument(document, faults);
    if (!faults.empty())
        return std::nullopt;
    normalize(document);
    return document;
}

} // namespace arbutuscrank
