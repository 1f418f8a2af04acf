#include "config/checks.hpp"
#include "config/json_parser.hpp"
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

        // A change of an account rewrites its whole shard. 100,000 accounts of 500 bytes make shards of 0.8 MB, which
        // is below maxPartBytes.
        constexpr std::uint64_t accountShardCount = 64;

        // Content-defined chunking: a chunk of client blocks ends after a block whose hash is a multiple of this
        // number. An inserted block then changes only its own chunk and does not move the boundaries of the chunks
        // after it.
        constexpr std::uint64_t meanBlocksPerChunk = 8192;
        // A chunk ends as soon as it has this size. Its last block may add its address, a group name of maxNameBytes
        // and punctuation, so this size is below maxPartBytes.
        constexpr std::size_t blockChunkThresholdBytes = 900'000;
        // JSON punctuation of a block and of the name of its group: quotation marks, commas, a colon and brackets.
        constexpr std::size_t blockPunctuationBytes = 12;

        std::uint64_t hashText(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

        std::string formatPartName(const char* format, std::uint64_t number)
        {
            std::array<char, 32> buf {};
            std::snprintf(buf.data(), buf.size(), format, static_cast<unsigned long long>(number));
            return buf.data();
        }

        /// \brief Indexes of the elements of a list, sorted by a key.
        /// \param key function that returns the sort key of an element
        template <typename T, typename Key>
        std::vector<std::size_t> sortedIndexes(const std::vector<T>& values, Key key)
        {
            std::vector<std::pair<decltype(key(values.front())), std::size_t>> keys;
            keys.reserve(values.size());
            for (std::size_t n = 0; n < values.size(); ++n)
                keys.emplace_back(key(values[n]), n);
            std::sort(keys.begin(), keys.end());
            std::vector<std::size_t> indexes;
            indexes.reserve(keys.size());
            for (const auto& it : keys)
                indexes.push_back(it.second);
            return indexes;
        }

        template <typename T, typename Key> void sortBy(std::vector<T>& values, Key key)
        {
            std::vector<T> result;
            result.reserve(values.size());
            for (const auto n : sortedIndexes(values, key))
                result.push_back(std::move(values[n]));
            values = std::move(result);
        }

        constexpr auto nameSortKey = [](const auto& value) { return std::string_view(value.name); };

        constexpr auto addressSortKey = [](const ClientBlock& value) {
            const auto block = parseCidr(value.cidr).value_or(AddressBlock {});
            return std::pair(block.first, ~block.last);
        };

        /// \brief Adds the parts of the client blocks.
        ///
        /// Each part has the form {"blocks":{group:[cidr,...]}}, which has half the size of a list of objects.
        void splitBlocks(const std::vector<ClientBlock>& blocks, std::map<std::string, std::string>& parts)
        {
            std::uint64_t chunkCount = 0;
            std::size_t chunkBytes = 0;
            auto chunk = json::object();
            const auto finishChunk = [&] {
                parts[formatPartName("blocks/%04llu", chunkCount++)]
                    = canonicalText({ { "blocks", std::move(chunk) } });
                chunk = json::object();
                chunkBytes = 0;
            };
            for (const auto n : sortedIndexes(blocks, addressSortKey)) {
                const auto& it = blocks[n];
                auto& cidrs = chunk[it.group];
                chunkBytes += it.cidr.size() + blockPunctuationBytes + (cidrs.empty() ? it.group.size() : 0);
                cidrs.push_back(it.cidr);
                if (chunkBytes >= blockChunkThresholdBytes || hashText(it.cidr) % meanBlocksPerChunk == 0)
                    finishChunk();
            }
            if (!chunk.empty())
                finishChunk();
        }

        /// \brief Reads a part, which is an object with some of the fields of a document.
        class PartReader {
        public:
            PartReader(const json& node, FaultList& faults)
                : m_node(node)
                , m_faults(faults)
                , m_reader(node, m_path, faults)
            {
            }

            /// \brief Appends the elements of a list field to \p values.
            template <typename T> void readList(std::string_view name, std::vector<T>& values)
            {
                std::vector<T> elements;
                m_reader.visitList(name, elements, 0);
                values.insert(
                    values.end(), std::make_move_iterator(elements.begin()), std::make_move_iterator(elements.end()));
            }

            /// \brief Appends the client blocks of a part to \p values.
            void readBlocks(std::vector<ClientBlock>& values)
            {
                const auto it = m_node.find("blocks");
                if (it == m_node.end() || m_node.size() != 1 || !it->is_object()) {
                    m_faults.add("", "an object of client blocks by group", "other content");
                    return;
                }
                for (const auto& [group, cidrs] : it->items()) {
                    if (!cidrs.is_array()) {
                        m_faults.add("/blocks", "an array", "a value of another type");
                        return;
                    }
                    for (const auto& cidr : cidrs) {
                        if (cidr.is_string())
                            values.push_back({ cidr.get<std::string>(), group });
                        else
                            m_faults.add("/blocks", "a text", "a value of another type");
                    }
                }
            }

            ObjectReader& objectReader() { return m_reader; }

        private:
            const json& m_node;
            Path m_path;
            FaultList& m_faults;
            ObjectReader m_reader;
        };

        /// \brief Adds the content of a part to a document.
        /// \returns false if no part has this name
        bool addPart(std::string_view name, const json& node, Document& document, FaultList& faults)
        {
            PartReader reader(node, faults);
            if (name.starts_with("blocks/")) {
                reader.readBlocks(document.steering.blocks);
                return true;
            }
            if (name.starts_with("accounts/")) {
                reader.readList("accounts", document.accounts);
            } else if (name.starts_with("services/")) {
                reader.readList("services", document.services);
            } else if (name == "regions") {
                reader.objectReader().visitNumber("schema", document.schema, limits::schema);
                reader.readList("regions", document.regions);
                reader.readList("links", document.links);
            } else if (name == "shifts") {
                reader.readList("shifts", document.shifts);
            } else if (name == "drains") {
                reader.readList("drains", document.drains);
            } else if (name == "steering") {
                reader.objectReader().visitNumber(
                    "lookupTtlSeconds", document.steering.lookupTtlSeconds, limits::lookupTtl);
                reader.readList("sites", document.steering.sites);
                reader.readList("groups", document.steering.groups);
            } else {
                return false;
            }
            reader.objectReader().reportUnknownFields();
            return true;
        }

    } // namespace

} // namespace config

void normalize(Document& document)
{
    config::sortBy(document.accounts, config::nameSortKey);
    config::sortBy(document.services, config::nameSortKey);
    config::sortBy(document.steering.blocks, config::addressSortKey);
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
    for (const auto n : config::sortedIndexes(document.accounts, config::nameSortKey)) {
        const auto& account = document.accounts[n];
        shards[config::hashText(account.name) % config::accountShardCount].push_back(ObjectWriter::write(account));
    }
    for (auto& [shard, accounts] : shards)
        parts[config::formatPartName("accounts/%02llu", shard)]
            = canonicalText({ { "accounts", std::move(accounts) } });
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
        if (!node.is_object() || !config::addPart(name, node, document, faults) || !faults.empty())
            return std::nullopt;
    }
    config::checkDocument(document, faults);
    if (!faults.empty())
        return std::nullopt;
    normalize(document);
    return document;
}

} // namespace arbutuscrank
