#include "config/versioneddocument.h"

#include "base/untrustedjson.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using nlohmann::json;

// Covers a peer that was paused during a burst of changes; peers further behind get the full
// document.
constexpr std::size_t kMaxDeltas = 16;
// A delta is sent only if it is shorter than the full document divided by this number; a longer one
// saves too little.
constexpr std::size_t kDeltaSizeDivisor = 2;

// Returns the field `version` of the document, or 0 if it has none.
std::uint64_t versionOf(const json &document)
{
    const auto found = document.is_object() ? document.find("version") : document.end();
    if (found == document.end() || !found->is_number_unsigned()) {
        return 0;
    }
    return found->get<std::uint64_t>();
}

// Returns whether `patch` holds only operations that json::diff() produces. Others can copy a part
// of the document into itself, and so nest it deeply within one patch.
bool isDiff(const json &patch)
{
    return patch.is_array() && std::all_of(patch.begin(), patch.end(), [](const json &step) {
               const auto operation = step.is_object() ? step.find("op") : step.end();
               return step.is_object() && operation != step.end()
                      && (*operation == "add" || *operation == "remove" || *operation == "replace");
           });
}

std::optional<json> applyPatch(const json &document, const json &patch)
{
    if (!isDiff(patch)) {
        return std::nullopt;
    }
    try {
        json patched = document.patch(patch);
        if (exceedsMaxJsonDepth(patched)) {
            return std::nullopt;
        }
        return patched;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::uint64_t documentDigest(const json &document)
{
    const std::string text = document.dump();
    return XXH3_64bits(text.data(), text.size());
}

UpdateResult VersionedDocument::accept(json document)
{
    const std::uint64_t version = versionOf(document);
    if (version == 0) {
        return UpdateResult::Corrupt;
    }
    return replace(std::move(document), version);
}

UpdateResult VersionedDocument::replace(json document, std::uint64_t version)
{
    if (version < version_) {
        return UpdateResult::Stale;
    }
    if (version == version_) {
        return document == document_ ? UpdateResult::Stale : UpdateResult::Conflict;
    }
    recordDelta(document, version);
    document_ = std::move(document);
    version_ = version;
    digest_ = documentDigest(document_);
    raiseFloor(version);
    return UpdateResult::Applied;
}

void VersionedDocument::recordDelta(const json &next, std::uint64_t version)
{
    if (version_ == 0) {
        return;
    }
    deltas_.push_back({version_, version, json::diff(document_, next)});
    if (deltas_.size() > kMaxDeltas) {
        deltas_.pop_front();
    }
}

UpdateResult VersionedDocument::apply(const VersionedUpdate &update)
{
    if (update.to <= version_) {
        const bool conflict = update.to == version_ && update.digest != digest_;
        return conflict ? UpdateResult::Conflict : UpdateResult::Stale;
    }
    if (update.from != 0 && update.from != version_) {
        return UpdateResult::Gap;
    }
    auto payload = parseUntrustedJson(update.payload);
    if (!payload) {
        return UpdateResult::Corrupt;
    }
    auto document =
        update.from == 0 ? std::optional(std::move(*payload)) : applyPatch(document_, *payload);
    if (!document) {
        return UpdateResult::Corrupt;
    }
    if (versionOf(*document) != update.to || documentDigest(*document) != update.digest) {
        return UpdateResult::Corrupt;
    }
    return replace(std::move(*document), update.to);
}

std::optional<VersionedUpdate> VersionedDocument::updateFor(std::uint64_t version) const
{
    if (version >= version_) {
        return std::nullopt;
    }
    const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                    [version](const Delta &each) { return each.from == version; });
    const std::string fullText = document_.dump();
    if (version != 0 && first != deltas_.end()) {
        json combinedPatch = json::array();
        for (auto each = first; each != deltas_.end(); ++each) {
            combinedPatch.insert(combinedPatch.end(), each->patch.begin(), each->patch.end());
        }
        std::string text = combinedPatch.dump();
        if (text.size() < fullText.size() / kDeltaSizeDivisor) {
            return VersionedUpdate{version, version_, digest_, std::move(text)};
        }
    }
    return VersionedUpdate{0, version_, digest_, fullText};
}

void VersionedDocument::raiseFloor(std::uint64_t version)
{
    floor_ = std::max(floor_, version);
}

} // namespace seamarch
