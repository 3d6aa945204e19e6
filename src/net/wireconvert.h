// Converts Cap'n Proto structures to the types of the decision layer and back. The read functions
// return what a message holds; the write functions fill one.
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
// Does not write `configVersion`; `writeVersions` does.
void writeReport(const AgentReport &report, wire::Status::Builder builder);

// Returns nothing if the message holds no update, which is encoded as `to` = 0.
std::optional<VersionedUpdate> readUpdate(wire::Update::Reader reader);
// Leaves the message empty if there is no update.
void writeUpdate(const std::optional<VersionedUpdate> &update, wire::Update::Builder builder);

} // namespace seamarch
