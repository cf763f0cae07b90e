#include "site/internal/versioned_site_store.h"

#include <algorithm>

namespace oriole::site {
namespace {

constexpr const char* head_path = "config/head";
constexpr const char* chunk_prefix = "config/chunks/";
constexpr const char* history_prefix = "config/history/";

// Few operators publish concurrently, so this many conflicts in a row indicate a fault rather than
// concurrent changes.
constexpr int max_conflicts = 16;

/// Number of updates without a reply after which the store counts as unreachable.
constexpr int max_lost_replies = 4;

std::string history_path(generation number) {
    return history_prefix + std::to_string(number);
}

site_head empty_head() {
    const bucket_digests none;
    return site_head::builder{}.number(0).buckets(none).digest(digest_of(none)).build();
}

std::string join_names(const std::vector<object_id>& ids) {
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : ", ") + id.str();
    }
    return text;
}

} // namespace

merge_conflict::merge_conflict(std::vector<object_id> conflicts)
    : error("another operator has changed the same objects: " + join_names(conflicts) +
            "; review the difference and apply the change again"),
      m_conflicts(std::move(conflicts)) {}

std::optional<site_head> versioned_site_store::head() {
    auto current = read_head();
    return current.version == 0 ? std::nullopt : std::optional(std::move(current.head));
}

std::optional<site_head> versioned_site_store::head_at(generation number) {
    const auto stored = m_objects.get(history_path(number));
    if (stored) {
        return decode_head(stored->value);
    }
    // The newest generation is published before it is added to the history, so it may be found only
    // in the head.
    auto newest = head();
    if (newest && newest->number() == number) {
        return newest;
    }
    return std::nullopt;
}

site_objects versioned_site_store::load(const site_head& head) {
    chunk_texts chunks;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        const std::string& digest = head.buckets()[i];
        if (digest.empty()) {
            continue;
        }
        const auto stored = m_objects.get(chunk_prefix + digest);
        if (!stored || digest_of(std::string_view(stored->value)) != digest) {
            throw malformed_site("chunk " + digest + " of generation " +
                                 std::to_string(head.number()) + " is missing or damaged");
        }
        chunks[i] = stored->value;
    }
    return decode_site(chunks);
}

publish_result versioned_site_store::publish(const proposed_change& change,
                                             majority_loss_policy policy) {
    int conflicts = 0;
    int lost_replies = 0;
    while (true) {
        const auto current = read_head();
        if (auto accepted = find_published(change.operation_id, change.base_generation)) {
            return *accepted;
        }
        if (conflicts == max_conflicts) {
            throw publish_contention("other writers published before this change " +
                                     std::to_string(conflicts) + " times; try again");
        }
        if (lost_replies == max_lost_replies) {
            throw store_unreachable("the store did not reply to " + std::to_string(lost_replies) +
                                    " updates of the published configuration; the last may still "
                                    "take effect, check the history before trying again");
        }
        const auto attempt = try_publish(change, policy, current);
        if (attempt.result) {
            return *attempt.result;
        }
        ++(attempt.reply_lost ? lost_replies : conflicts);
    }
}

versioned_site_store::current_head versioned_site_store::read_head() {
    const auto stored = m_objects.get(head_path);
    if (!stored) {
        return {empty_head(), 0};
    }
    return {decode_head(stored->value), stored->version};
}

/// Searches the generations after `from` for the operation. A generation is added to the history
/// before the next one is published, so only the newest may be missing there and is read from the
/// head.
std::optional<publish_result> versioned_site_store::find_published(const std::string& operation_id,
                                                                   generation from) {
    const auto newest = read_head();
    for (auto found = std::optional(newest.head); found && found->number() > from;
         found = head_at(found->previous())) {
        if (found->operation_id() == operation_id) {
            return publish_result{head_at(found->previous()).value_or(empty_head()), *found};
        }
    }
    return std::nullopt;
}

/// Tries once to publish the change on top of `current`. Has no result if the head was changed in
/// the meantime or the reply was lost.
versioned_site_store::publish_attempt
versioned_site_store::try_publish(const proposed_change& change, majority_loss_policy policy,
                                  const current_head& current) {
    const auto merged = merge(change, policy, current.head);
    const auto chunks = encode_site(merged);
    const auto digests = digests_of(chunks);
    if (digests == current.head.buckets()) {
        return {publish_result{current.head, current.head}, false};
    }
    const auto next = site_head::builder{}
                          .number(std::max(current.head.number(), change.newest_in_use) + 1)
                          .previous(current.head.number())
                          .operation_id(change.operation_id)
                          .buckets(digests)
                          .digest(digest_of(digests))
                          .author(change.author)
                          .time(change.time)
                          .comment(change.comment)
                          .build();
    write_chunks(chunks, digests, current.head, change.operation_id);
    record_history(current.head);
    try {
        m_objects.put(head_path, encode_head(next), current.version, change.operation_id);
    } catch (const store_conflict&) {
        return {std::nullopt, false};
    } catch (const store_unreachable&) {
        // The update may have taken effect. The next attempt reads the head first, and that read
        // throws if the store is still unreachable.
        return {std::nullopt, true};
    }
    try {
        record_history(next);
    } catch (const store_unreachable&) {
        // The change is published. The next publisher adds the missing history entry before it
        // publishes.
        return {publish_result{current.head, next}, false};
    }
    return {publish_result{current.head, next}, false};
}

site_objects versioned_site_store::merge(const proposed_change& change, majority_loss_policy policy,
                                         const site_head& current) {
    auto merged = merge_sites(change.base, load(current), change.ours);
    if (!merged.conflicts.empty()) {
        throw merge_conflict(std::move(merged.conflicts));
    }
    auto found = m_checker->check({merged.merged, {}}, policy);
    if (has_errors(found)) {
        throw invalid_site(std::move(found));
    }
    return std::move(merged.merged);
}

void versioned_site_store::write_chunks(const chunk_texts& chunks, const bucket_digests& digests,
                                        const site_head& current, const std::string& operation_id) {
    for (std::size_t i = 0; i < bucket_count; ++i) {
        if (!digests[i].empty() && digests[i] != current.buckets()[i]) {
            create_if_absent(chunk_prefix + digests[i], chunks[i], operation_id);
        }
    }
}

/// Creates an object unless it exists. Its path determines its content, so any writer stores the
/// same value.
void versioned_site_store::create_if_absent(const std::string& path, const std::string& value,
                                            const std::string& operation_id) {
    if (m_objects.get(path)) {
        return;
    }
    try {
        m_objects.put(path, value, 0, operation_id);
    } catch (const store_conflict&) {
        return; // another writer has stored the same content first
    } catch (const store_unreachable&) {
        if (!m_objects.get(path)) {
            throw;
        }
    }
}

/// Adds a head to the history. Only published heads are recorded, so all writers of a generation's
/// entry store the same value.
void versioned_site_store::record_history(const site_head& head) {
    if (head.number() > 0) {
        create_if_absent(history_path(head.number()), encode_head(head), head.operation_id());
    }
}

std::unique_ptr<site_store> make_site_store(object_store& objects) {
    return std::make_unique<versioned_site_store>(objects);
}

} // namespace oriole::site
