#pragma once

#include "config/formats.hpp"

#include <arbutuscrank/config/document.hpp>
#include <arbutuscrank/config/limits.hpp>

#include <concepts>
#include <type_traits>

/// \file
/// \brief Names and limits of the fields of each structure of the document. Reading, checking and writing share them.
///
/// `visitFields(self, visitor)` calls one function of the visitor for each field, in the order of the members:
/// - `visitText(name, string, Format)`, `visitTexts(name, strings, Format, maxElements)`,
///   `visitList(name, structs, maxElements)` and `visitObject(name, struct)` for required fields
/// - `visitNumber(name, value, Range)`, `visitFlag(name, bool)` and `visitKind(name, DrainKind)` for optional fields

namespace arbutuscrank::config {

/// \brief `T` or `const T`, so that one function serves visitors that read and visitors that write.
template <typename Self, typename T>
concept MaybeConst = std::same_as<std::remove_const_t<Self>, T>;

template <MaybeConst<KeyEntry> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("id", self.id, Format::KeyId);
    visitor.visitText("digest", self.digest, Format::Digest);
    visitor.visitFlag("withdrawn", self.withdrawn);
}

template <MaybeConst<Account> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitFlag("withdrawn", self.withdrawn);
    visitor.visitList("keys", self.keys, limits::maxKeysPerAccount);
    visitor.visitNumber("ratePerSecond", self.ratePerSecond, limits::rate);
    visitor.visitNumber("burst", self.burst, limits::burst);
    visitor.visitTexts("services", self.services, Format::Name, limits::maxServices);
    visitor.visitTexts("regions", self.regions, Format::Name, limits::maxRegions);
}

template <MaybeConst<TargetEntry> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitText("address", self.address, Format::Address);
    visitor.visitText("region", self.region, Format::Name);
    visitor.visitText("failureDomain", self.failureDomain, Format::Name);
    visitor.visitFlag("draining", self.draining);
}

template <MaybeConst<SpillGrant> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("region", self.region, Format::Name);
    visitor.visitNumber("perSecond", self.perSecond, limits::rate);
    visitor.visitNumber("burst", self.burst, limits::burst);
}

template <MaybeConst<Service> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitText("pathPrefix", self.pathPrefix, Format::PathPrefix);
    visitor.visitTexts("openPathPrefixes", self.openPathPrefixes, Format::OpenPathPrefix, limits::maxOpenPathPrefixes);
    visitor.visitNumber("slotsPerTarget", self.slotsPerTarget, limits::slotsPerTarget);
    visitor.visitNumber("connectionsPerTarget", self.connectionsPerTarget, limits::connectionsPerTarget);
    visitor.visitNumber("probeIntervalMs", self.probeIntervalMs, limits::probeInterval);
    visitor.visitNumber("defaultTimeoutMs", self.defaultTimeoutMs, limits::timeout);
    visitor.visitNumber("queuePerAccount", self.queuePerAccount, limits::queueLength);
    visitor.visitNumber("queueTotal", self.queueTotal, limits::queueLength);
    visitor.visitNumber("retryBudgetPercent", self.retryBudgetPercent, limits::retryBudget);
    visitor.visitNumber("maxAnswerBytes", self.maxAnswerBytes, limits::answerBytes);
    visitor.visitList("spill", self.spill, limits::maxRegions);
    visitor.visitList("targets", self.targets, limits::maxTargetsPerService);
}

template <MaybeConst<Region> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitTexts("failureDomains", self.failureDomains, Format::Name, limits::maxFailureDomainsPerRegion);
}

template <MaybeConst<Link> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("a", self.a, Format::Name);
    visitor.visitText("b", self.b, Format::Name);
    visitor.visitNumber("megabitsPerSecond", self.megabitsPerSecond, limits::linkCapacity);
}

template <MaybeConst<Shift> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitText("service", self.service, Format::Name);
    visitor.visitText("from", self.from, Format::Name);
    visitor.visitText("to", self.to, Format::Name);
    visitor.visitNumber("percent", self.percent, limits::percent);
    visitor.visitNumber("capPerSecond", self.capPerSecond, limits::rate);
    visitor.visitNumber("stepPercent", self.stepPercent, limits::stepPercent);
    visitor.visitNumber("stepSeconds", self.stepSeconds, limits::stepSeconds);
}

template <MaybeConst<Drain> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitKind("kind", self.kind);
    visitor.visitText("name", self.name, Format::Name);
}

template <MaybeConst<Site> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitText("region", self.region, Format::Name);
}

template <MaybeConst<ClientGroup> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("name", self.name, Format::Name);
    visitor.visitTexts("rankedSites", self.rankedSites, Format::Name, limits::maxSites);
}

template <MaybeConst<ClientBlock> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitText("cidr", self.cidr, Format::Cidr);
    visitor.visitText("group", self.group, Format::Name);
}

template <MaybeConst<Steering> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitNumber("lookupTtlSeconds", self.lookupTtlSeconds, limits::lookupTtl);
    visitor.visitList("sites", self.sites, limits::maxSites);
    visitor.visitList("groups", self.groups, limits::maxClientGroups);
    visitor.visitList("blocks", self.blocks, limits::maxClientBlocks);
}

template <MaybeConst<Document> Self> void visitFields(Self& self, auto& visitor)
{
    visitor.visitNumber("schema", self.schema, limits::schema);
    visitor.visitList("regions", self.regions, limits::maxRegions);
    visitor.visitList("links", self.links, limits::maxLinks);
    visitor.visitList("services", self.services, limits::maxServices);
    visitor.visitList("accounts", self.accounts, limits::maxAccounts);
    visitor.visitList("shifts", self.shifts, limits::maxShifts);
    visitor.visitList("drains", self.drains, limits::maxDrains);
    visitor.visitObject("steering", self.steering);
}

} // namespace arbutuscrank::config
