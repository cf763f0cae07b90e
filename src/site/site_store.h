#pragma once

#include "base/errors.h"
#include "base/types/finding.h"
#include "site/object_store.h"
#include "site/site_checker.h"
#include "site/types/proposed_change.h"
#include "site/types/site_head.h"
#include "site/types/site_objects.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriole::site {

/// Another operator has changed the same objects differently; nothing was published.
class merge_conflict : public error {
public:
    explicit merge_conflict(std::vector<object_id> conflicts);

    [[nodiscard]] const std::vector<object_id>& conflicts() const noexcept { return m_conflicts; }

private:
    std::vector<object_id> m_conflicts;
};

/// The merged configuration has errors; nothing was published.
class invalid_site : public error {
public:
    explicit invalid_site(findings found)
        : error("the merged configuration has errors"), m_found(std::move(found)) {}

    [[nodiscard]] const findings& found() const noexcept { return m_found; }

private:
    findings m_found;
};

/// Every attempt to publish lost against a concurrent publication; nothing was published.
class publish_contention : public error {
public:
    using error::error;
};

/// The heads before and after a publication.
struct publish_result {
    site_head before; ///< generation 0 if nothing was published before
    site_head after;  ///< equal to `before` if the change modified nothing

    friend bool operator==(const publish_result&, const publish_result&) = default;
};

/// The published configurations, kept in the platform's object store. All calls block and may throw
/// store_unreachable, or malformed_site if stored data is corrupted. Not thread-safe.
class site_store {
public:
    virtual ~site_store() = default;

    /// The newest published head; nullopt before the first publication.
    [[nodiscard]] virtual std::optional<site_head> head() = 0;

    /// The head of a generation; nullopt if the generation does not exist.
    [[nodiscard]] virtual std::optional<site_head> head_at(generation number) = 0;

    /// Loads the objects of a head and verifies each chunk against its digest.
    [[nodiscard]] virtual site_objects load(const site_head& head) = 0;

    /// Merges the change into the newest configuration, checks the result and publishes it as the
    /// next generation. Idempotent: a repeated call with the same operation id returns the first
    /// result.
    /// Throws merge_conflict, invalid_site, publish_contention and store_unreachable.
    [[nodiscard]] virtual publish_result publish(const proposed_change& change,
                                                 majority_loss_policy policy) = 0;
};

/// Precondition: `objects` outlives the store.
[[nodiscard]] std::unique_ptr<site_store> make_site_store(object_store& objects);

} // namespace oriole::site
