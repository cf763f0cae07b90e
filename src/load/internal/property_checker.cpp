#include "load/history_checker.h"
#include "load/internal/property.h"

#include <utility>

namespace oriole::load {
namespace {

class property_checker final : public history_checker {
public:
    property_checker() {
        m_properties.push_back(make_read_your_writes());
        m_properties.push_back(make_lost_acknowledged_write());
        m_properties.push_back(make_doubled_request());
        m_properties.push_back(make_untrue_not_run());
        m_properties.push_back(make_foreign_answer());
        m_properties.push_back(make_incomplete_answer());
        m_properties.push_back(make_wrong_account());
        m_properties.push_back(make_rate_excess());
        m_properties.push_back(make_missing_outcome());
    }

    [[nodiscard]] std::vector<std::string> properties() const override {
        std::vector<std::string> names;
        for (const auto& item : m_properties) {
            names.push_back(item->name());
        }
        return names;
    }

    [[nodiscard]] std::vector<violation> check(const recorded_history& history) const override {
        const row_index rows(history);
        std::vector<violation> all;
        for (const auto& item : m_properties) {
            for (auto& found : item->check(history, rows)) {
                found.property = item->name();
                all.push_back(std::move(found));
            }
        }
        return all;
    }

private:
    std::vector<std::unique_ptr<property>> m_properties;
};

} // namespace

std::unique_ptr<history_checker> make_history_checker() {
    return std::make_unique<property_checker>();
}

} // namespace oriole::load
