#pragma once

#include "ctl/environment.h"
#include "ctl/internal/http_object_store.h"
#include "ctl/types/arguments.h"
#include "ctl/types/option_schema.h"
#include "site/site_store.h"

#include <memory>

namespace oriole::ctl {

/// The option --platform of commands that read configurations from the platform.
[[nodiscard]] option_schema platform_option();

/// Read access to the configurations that are stored in the platform given by --platform. Not
/// thread-safe.
class platform_site {
public:
    /// `system` outlives the object. Throws usage_error if --platform is not an address.
    platform_site(environment& system, const arguments& args);

    /// The objects of the newest configuration; empty if none has been published.
    [[nodiscard]] site::site_objects newest_objects();

    /// The objects of generation `number`. Throws oriole::error when it does not exist.
    [[nodiscard]] site::site_objects objects_at(site::generation number);

    [[nodiscard]] site::site_store& store() { return *m_store; }

    [[nodiscard]] http_object_store& object_store() { return m_object_store; }

private:
    http_object_store m_object_store;
    std::unique_ptr<site::site_store> m_store;
};

/// Parses the number of a generation, 1 or above. Throws usage_error.
[[nodiscard]] site::generation parse_generation(const std::string& text);

} // namespace oriole::ctl
