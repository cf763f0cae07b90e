#pragma once

#include "site/site_codec.h"
#include "site/site_merge.h"
#include "site/site_store.h"

#include <cstdint>

namespace oriole::site {

class versioned_site_store final : public site_store {
public:
    explicit versioned_site_store(object_store& objects) : m_objects(objects) {}

    [[nodiscard]] std::optional<site_head> head() override;
    [[nodiscard]] std::optional<site_head> head_at(generation number) override;
    [[nodiscard]] site_objects load(const site_head& head) override;
    [[nodiscard]] publish_result publish(const proposed_change& change,
                                         majority_loss_policy policy) override;

private:
    struct current_head {
        site_head head;
        std::uint64_t version; ///< store version of the head object; 0 if absent
    };

    struct publish_attempt {
        std::optional<publish_result> result;
        bool reply_lost; ///< the update of the head may have taken effect
    };

    [[nodiscard]] current_head read_head();
    [[nodiscard]] std::optional<publish_result> find_published(const std::string& operation_id,
                                                               generation from);
    [[nodiscard]] publish_attempt try_publish(const proposed_change& change,
                                              majority_loss_policy policy,
                                              const current_head& current);
    [[nodiscard]] site_objects merge(const proposed_change& change, majority_loss_policy policy,
                                     const site_head& current);
    void write_chunks(const chunk_texts& chunks, const bucket_digests& digests,
                      const site_head& current, const std::string& operation_id);
    void create_if_absent(const std::string& path, const std::string& value,
                          const std::string& operation_id);
    void record_history(const site_head& head);

    object_store& m_objects;
    std::unique_ptr<site_checker> m_checker = make_site_checker();
};

} // namespace oriole::site
