#pragma once

#include "config/formats.hpp"

#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/config/limits.hpp>

#include <concepts>
#include <type_traits>

/// \file
/// \brief Fields of each part of the document with their limits; the one description that reading, checking and
/// writing share.
///
/// `visitFields(self, visitor)` calls, in the order of the members:
/// - `text(name, string, Format)`, `texts(name, strings, Format, most)`, `list(name, structs, most)` and
///   `object(name, struct)` for required fields
/// - `number(name, value, Range)`, `flag(name, bool)` and `kind(name, DrainKind)` for fields that may be left out

namespace arbutuscrank::config {

/// \brief Either a type or its const form, so that one function serves readers and writers.
template <typename Self, typename T>
concept Is = std::same_as<std::remove_const_t<Self>, T>;

template <Is<KeyEntry> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("id", self.id, Format::KeyId);
    visitor.text("digest", self.digest, Format::Digest);
    visitor.flag("withdrawn", self.withdrawn);
}

template <Is<Account> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.flag("withdrawn", self.withdrawn);
    visitor.list("keys", self.keys, limits::maxKeysPerAccount);
    visitor.number("ratePerSecond", self.ratePerSecond, limits::rate);
    visitor.number("burst", self.burst, limits::burst);
    visitor.texts("services", self.services, Format::Name, limits::maxServices);
    visitor.texts("regions", self.regions, Format::Name, limits::maxRegions);
}

template <Is<TargetEntry> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.text("address", self.address, Format::Address);
    visitor.text("region", self.region, Format::Name);
    visitor.text("failureDomain", self.failureDomain, Format::Name);
    visitor.flag("draining", self.draining);
}

template <Is<SpillGrant> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("region", self.region, Format::Name);
    visitor.number("perSecond", self.perSecond, limits::rate);
    visitor.number("burst", self.burst, limits::burst);
}

template <Is<Service> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.text("pathPrefix", self.pathPrefix, Format::PathPrefix);
    visitor.texts("openPathPrefixes", self.openPathPrefixes, Format::OpenPath, limits::maxOpenPathPrefixes);
    visitor.number("slotsPerTarget", self.slotsPerTarget, limits::slotsPerTarget);
    visitor.number("connectionsPerTarget", self.connectionsPerTarget, limits::connectionsPerTarget);
    visitor.number("probeIntervalMs", self.probeIntervalMs, limits::probeInterval);
    visitor.number("defaultTimeoutMs", self.defaultTimeoutMs, limits::timeout);
    visitor.number("queuePerAccount", self.queuePerAccount, limits::queueLength);
    visitor.number("queueTotal", self.queueTotal, limits::queueLength);
    visitor.number("retryBudgetPercent", self.retryBudgetPercent, limits::retryBudget);
    visitor.number("maxAnswerBytes", self.maxAnswerBytes, limits::answerBytes);
    visitor.list("spill", self.spill, limits::maxRegions);
    visitor.list("targets", self.targets, limits::maxTargetsPerService);
}

template <Is<Region> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.texts("failureDomains", self.failureDomains, Format::Name, limits::maxFailureDomainsPerRegion);
}

template <Is<Link> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("a", self.a, Format::Name);
    visitor.text("b", self.b, Format::Name);
    visitor.number("megabitsPerSecond", self.megabitsPerSecond, limits::linkCapacity);
}

template <Is<Shift> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.text("service", self.service, Format::Name);
    visitor.text("from", self.from, Format::Name);
    visitor.text("to", self.to, Format::Name);
    visitor.number("percent", self.percent, limits::percent);
    visitor.number("capPerSecond", self.capPerSecond, limits::rate);
    visitor.number("stepPercent", self.stepPercent, limits::stepPercent);
    visitor.number("stepSeconds", self.stepSeconds, limits::stepSeconds);
}

template <Is<Drain> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.kind("kind", self.kind);
    visitor.text("name", self.name, Format::Name);
}

template <Is<Site> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.text("region", self.region, Format::Name);
}

template <Is<ClientGroup> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("name", self.name, Format::Name);
    visitor.texts("rankedSites", self.rankedSites, Format::Name, limits::maxSites);
}

template <Is<ClientBlock> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.text("cidr", self.cidr, Format::Cidr);
    visitor.text("group", self.group, Format::Name);
}

template <Is<Steering> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.number("lookupTtlSeconds", self.lookupTtlSeconds, limits::lookupTtl);
    visitor.list("sites", self.sites, limits::maxSites);
    visitor.list("groups", self.groups, limits::maxClientGroups);
    visitor.list("blocks", self.blocks, limits::maxClientBlocks);
}

template <Is<Document> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.number("schema", self.schema, limits::schema);
    visitor.list("regions", self.regions, limits::maxRegions);
    visitor.list("links", self.links, limits::maxLinks);
    visitor.list("services", self.services, limits::maxServices);
    visitor.list("accounts", self.accounts, limits::maxAccounts);
    visitor.list("shifts", self.shifts, limits::maxShifts);
    visitor.list("drains", self.drains, limits::maxDrains);
    visitor.object("steering", self.steering);
}

} // namespace arbutuscrank::config
