// Turns wire structures into the types of the decisions and back.
#pragma once

#include "decision/dispatch/agentcore.h"
#include "decision/membership/membertable.h"
#include "knowledge/clusterstate.h"
#include "wire/seamarch.capnp.h"

namespace seamarch {

inline std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

RequestId readRequestId(wire::RequestId::Reader reader);
void writeRequestId(const RequestId &id, wire::RequestId::Builder builder);

DocumentVersions readVersions(wire::Status::Reader reader);
void writeVersions(const DocumentVersions &versions, wire::Status::Builder builder);

AgentReport readReport(wire::Status::Reader reader);
void writeReport(const AgentReport &report, wire::Status::Builder builder);

std::optional<VersionedUpdate> readUpdate(wire::Update::Reader reader);
void writeUpdate(const std::optional<VersionedUpdate> &update, wire::Update::Builder builder);

} // namespace seamarch
