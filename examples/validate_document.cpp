// Validates a configuration document and prints its errors, or its parts and their hashes; then compares it with a
// changed copy. Usage: example_validate_document [FILE]; without a file, it uses a small built-in document.

#include <arbutuscrank/config.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

constexpr std::string_view builtInDocument = R"({
    "regions": [{ "name": "caerdydd", "failureDomains": ["caerdydd-1"] }],
    "links": [],
    "services": [{ "name": "kitty", "pathPrefix": "/kitty/", "openPathPrefixes": [], "spill": [],
        "targets": [{ "name": "kitty-1", "address": "10.0.0.1:8080", "region": "caerdydd",
                      "failureDomain": "caerdydd-1" }] }],
    "accounts": [{ "name": "shops", "keys": [], "ratePerSecond": 50, "burst": 100,
        "services": ["kitty"], "regions": ["caerdydd"] }],
    "shifts": [], "drains": [],
    "steering": { "sites": [], "groups": [], "blocks": [] }
})";

} // namespace

int main(int argc, char** argv)
{
    std::string text(builtInDocument);
    if (argc > 1) {
        std::ifstream file(argv[1], std::ios::binary);
        if (!file) {
            std::cerr << "cannot open " << argv[1] << '\n';
            return 2;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    const auto parsed = arbutuscrank::parseDocument(text);
    if (const auto* faults = std::get_if<std::vector<arbutuscrank::Fault>>(&parsed)) {
        for (const auto& it : *faults)
            std::cout << it.path << ": expected " << it.limit << ", found " << it.found << '\n';
        return 1;
    }
    const auto& document = std::get<arbutuscrank::Document>(parsed);
    for (const auto& [name, part] : arbutuscrank::splitDocument(document))
        std::cout << name << ": " << part.size() << " bytes, " << arbutuscrank::sha256Hex(part) << '\n';

    auto changed = document;
    for (auto& it : changed.accounts)
        it.withdrawn = true;
    for (const auto& it : arbutuscrank::diffDocuments(document, changed))
        std::cout << it.path << ": " << it.before << " -> " << it.after << '\n';
    return 0;
}
