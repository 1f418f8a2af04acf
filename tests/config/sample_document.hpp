#pragma once

#include <arbutuscrank/config.hpp>

#include <nlohmann/json.hpp>

#include <string>

/// \file
/// \brief A small valid document for tests.

/// \brief JSON tree of a document with at least one element in every list.
inline nlohmann::json sampleTree()
{
    return nlohmann::json::parse(R"({
        "schema": 1,
        "regions": [{ "name": "caerdydd", "failureDomains": ["cf-1", "cf-2"] },
            { "name": "bangor", "failureDomains": ["bg-1"] }],
        "links": [{ "a": "bangor", "b": "caerdydd", "megabitsPerSecond": 4000 }],
        "services": [{ "name": "kitty", "pathPrefix": "/kitty/", "openPathPrefixes": ["/kitty/public/"],
            "slotsPerTarget": 6, "connectionsPerTarget": 800, "maxAnswerBytes": 65536,
            "spill": [{ "region": "bangor", "perSecond": 100, "burst": 50 }],
            "targets": [
                { "name": "k1", "address": "10.1.0.1:80", "region": "caerdydd", "failureDomain": "cf-1" },
                { "name": "k2", "address": "10.2.0.1:80", "region": "bangor", "failureDomain": "bg-1",
                  "draining": true }] }],
        "accounts": [
            { "name": "shops", "ratePerSecond": 50, "burst": 20, "services": ["kitty"], "regions": ["bangor"],
              "keys": [{ "id": "s1",
                  "digest": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" }] },
            { "name": "acme", "ratePerSecond": 0.1, "burst": 1, "keys": [], "services": [], "regions": [],
              "withdrawn": true }],
        "shifts": [{ "name": "s", "service": "kitty", "from": "caerdydd", "to": "bangor", "percent": 60,
            "capPerSecond": 10 }],
        "drains": [{ "kind": "failureDomain", "name": "cf-2" }, { "kind": "site", "name": "site-b" }],
        "steering": { "lookupTtlSeconds": 5,
            "sites": [{ "name": "site-a", "region": "caerdydd" }, { "name": "site-b", "region": "bangor" }],
            "groups": [{ "name": "north", "rankedSites": ["site-b", "site-a"] }],
            "blocks": [{ "cidr": "10.128.0.0/9", "group": "north" }, { "cidr": "9.0.0.0/8", "group": "north" }] }
    })");
}

/// \brief Parses the document of sampleTree().
inline arbutuscrank::Document sampleDocument()
{
    return std::get<arbutuscrank::Document>(arbutuscrank::parseDocument(sampleTree().dump()));
}
