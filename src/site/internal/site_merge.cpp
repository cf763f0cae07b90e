#include "site/site_merge.h"

#include "site/site_records.h"

#include <set>

namespace oriole::site {
namespace {

const object_record* find(const object_records& records, const object_id& id) {
    const auto found = records.find(id);
    return found == records.end() ? nullptr : &found->second;
}

bool equal_or_both_absent(const object_record* left, const object_record* right) {
    if (left == nullptr || right == nullptr) {
        return left == right;
    }
    return *left == *right;
}

} // namespace

merge_result merge_sites(const site_objects& base, const site_objects& theirs,
                         const site_objects& ours) {
    const auto base_records = to_records(base);
    const auto their_records = to_records(theirs);
    const auto our_records = to_records(ours);
    std::set<object_id> ids;
    for (const auto* records : {&base_records, &their_records, &our_records}) {
        for (const auto& [id, record] : *records) {
            ids.insert(id);
        }
    }
    merge_result result;
    site_objects::builder merged;
    for (const auto& id : ids) {
        const auto* base_record = find(base_records, id);
        const auto* their_record = find(their_records, id);
        const auto* our_record = find(our_records, id);
        const bool we_changed = !equal_or_both_absent(base_record, our_record);
        if (we_changed && !equal_or_both_absent(base_record, their_record) &&
            !equal_or_both_absent(their_record, our_record)) {
            result.conflicts.push_back(id);
        }
        const auto* chosen = we_changed && equal_or_both_absent(base_record, their_record)
                                 ? our_record
                                 : their_record;
        if (chosen != nullptr) {
            add_record(merged, *chosen);
        }
    }
    result.merged = merged.build();
    return result;
}

} // namespace oriole::site
