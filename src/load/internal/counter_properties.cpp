#include "load/internal/property.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace oriole::load {
namespace {

std::optional<std::int64_t> to_number(const std::optional<std::string>& text) {
    if (!text) {
        return 0;
    }
    std::int64_t number = 0;
    const auto* end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, number);
    return read.ptr == end ? std::optional(number) : std::nullopt;
}

std::int64_t amount_for(const recorded_request& add, const std::string& row) {
    std::int64_t sum = 0;
    for (const auto& item : add.statements) {
        sum += item.row == row ? item.amount : 0;
    }
    return sum;
}

/// Checks counters as read after the load: the value must be the sum of the increments that ran,
/// plus at most those whose outcome is still unknown. A larger value means that an increment ran
/// twice, a smaller one that an acknowledged increment was lost.
class doubled_request final : public property {
public:
    [[nodiscard]] std::string name() const override { return "doubled_request"; }

    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index& rows) const override {
        std::vector<violation> found;
        for (const auto& request : history.requests) {
            if (request.phase != request_phase::check || !request.done()) {
                continue;
            }
            for (const auto& result : request.results) {
                check_counter(request, result, rows.adds(result.row), found);
            }
        }
        return found;
    }

private:
    static void check_counter(const recorded_request& read,
                              const machines::statement_result& result,
                              const std::vector<const recorded_request*>& adds,
                              std::vector<violation>& found) {
        if (adds.empty()) {
            return;
        }
        std::int64_t minimum = 0;
        std::int64_t unresolved = 0;
        for (const auto* add : adds) {
            const bool done = add->final_outcome() == outcome::done;
            const bool not_run = add->final_outcome() == outcome::not_run;
            minimum += done ? amount_for(*add, result.row) : 0;
            unresolved += !done && !not_run ? amount_for(*add, result.row) : 0;
        }
        const auto value = to_number(result.value);
        if (value && *value >= minimum && *value <= minimum + unresolved) {
            return;
        }
        violation found_violation{{},
                                  "counter " + result.row + " is " +
                                      result.value.value_or("(nothing)") + ", expected " +
                                      std::to_string(minimum) + " plus at most " +
                                      std::to_string(unresolved) + " of unknown outcome",
                                  {"read: " + describe(read)}};
        for (const auto* add : adds) {
            found_violation.requests.push_back("add: " + describe(*add));
        }
        found.push_back(std::move(found_violation));
    }
};

} // namespace

std::unique_ptr<property> make_doubled_request() {
    return std::make_unique<doubled_request>();
}

} // namespace oriole::load
