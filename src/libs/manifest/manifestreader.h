// Parses, checks, writes and compares manifests.
#pragma once

#include "manifest.h"

#include <settings/faultlist.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Manifest {

/// Parses and checks \a text, which is JSON with comments. Adds every fault to \a faults and
/// returns std::nullopt if there are any.
std::optional<Manifest> parseManifest(std::string_view text, Settings::FaultList &faults);

/// Checks that \a next is a valid successor of \a current: its revision is higher, and requests
/// stay on their shards (otherwise code placementChanged).
void checkSuccessor(const Manifest &current, const Manifest &next, Settings::FaultList &faults);

/// Returns canonical JSON: equal manifests give equal text.
std::string writeManifest(const Manifest &manifest);

/// Hexadecimal digest of \a body, which identifies it in the object store.
std::string manifestDigest(std::string_view body);

/// One line for each difference, such as "kinds/probe/deadlineMs: 300 -> 250".
std::vector<std::string> diffManifests(const Manifest &from, const Manifest &to);

} // namespace Manifest
