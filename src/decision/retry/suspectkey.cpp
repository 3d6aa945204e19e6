#include "decision/retry/suspectkey.h"

#include <xxhash.h>

namespace seamarch {

SuspectKey::SuspectKey(const TargetName &service, const PromptPartId &part)
    : kind(SuspectKind::PromptPart)
    , value(XXH3_64bits_withSeed(service.value().data(), service.value().size(), part.value()))
{}

} // namespace seamarch
