#include "config/json_writer.hpp"

#include "config/object_reader.hpp"

#include <arbutuscrank/config/codec.hpp>

namespace arbutuscrank {

namespace config {

    void ObjectWriter::visitKind(std::string_view name, DrainKind value)
    {
        setField(name, std::string(drainKindNames.at(static_cast<std::size_t>(value))));
    }

    std::string canonicalText(const nlohmann::json& node)
    {
        return node.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

} // namespace config

std::string toJson(const Document& document) { return config::canonicalText(config::ObjectWriter::write(document)); }

std::string toPrettyJson(const Document& document)
{
    constexpr int indent = 2;
    return config::ObjectWriter::write(document).dump(indent, ' ', false, nlohmann::json::error_handler_t::replace)
        + '\n';
}

} // namespace arbutuscrank
