// Reads, checks, writes and compares manifests.
#pragma once

#include "manifest.h"

#include <settings/faultlist.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Manifest {

/// Parses and checks \a text, JSON with comments. Adds every fault to \a faults. Returns nothing if
/// there is any.
std::optional<Manifest> parseManifest(std::string_view text, Settings::FaultList &faults);

/// Checks that \a next may follow \a current: a higher revision and the same placement (code
/// placementChanged).
void checkSuccessor(const Manifest &current, const Manifest &next, Settings::FaultList &faults);

/// Canonical JSON: equal manifests give equal text.
std::string writeManifest(const Manifest &manifest);

/// Hex digest of a manifest body, the name of the body in the object store.
std::string manifestDigest(std::string_view body);

/// One line for each difference, such as "kinds/probe/deadlineMs: 300 -> 250".
std::vector<std::string> diffManifests(const Manifest &from, const Manifest &to);

} // namespace Manifest
