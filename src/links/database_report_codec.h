#pragma once

#include "links/backend_codec.h"
#include "machines/types/database_digest.h"

#include <string>
#include <vector>

namespace oriole::links {

/// Peer method by which an instance sends its database digests to another instance.
inline constexpr const char* database_report_method = "database.report";

/// JSON text of the digests: the params of the peer method database.report. Thread-safe.
[[nodiscard]] std::string
encode_database_report(const std::vector<machines::database_digest>& digests);

/// Ignores unknown fields, so that a later minor version can add fields. Throws decode_error.
[[nodiscard]] std::vector<machines::database_digest>
decode_database_report(const std::string& text);

} // namespace oriole::links
