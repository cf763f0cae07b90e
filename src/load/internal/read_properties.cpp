#include "load/internal/property.h"

#include <optional>
#include <utility>

namespace oriole::load {
namespace {

using machines::statement_result;

constexpr int history_lost_status = 409;

/// How the value that a read returned compares with the writes to the row: the expected value, an
/// older one, one of a write with the outcome not-run, or one that the session never wrote.
enum class read_validity { valid, stale, not_run_write, foreign };

/// Whether `read` may return the value of `put` although the write was not acknowledged. A write
/// with an unknown outcome may take effect at any time after it was sent.
bool may_have_run(const recorded_request& put, const recorded_request& read) {
    return put.sent <= read.sent && put.final_outcome() != outcome::not_run && !put.done();
}

read_validity classify_value(const row_index& rows, const recorded_request& read,
                             const statement_result& result) {
    const auto* expected = rows.last_acknowledged(result.row, read);
    if (!result.value) {
        return expected == nullptr ? read_validity::valid : read_validity::stale;
    }
    const auto* writer = rows.writer(result.row, *result.value);
    if (writer == nullptr || writer->session != read.session) {
        return read_validity::foreign;
    }
    if (writer == expected || may_have_run(*writer, read)) {
        return read_validity::valid;
    }
    const bool not_run = writer->final_outcome() == outcome::not_run;
    return not_run ? read_validity::not_run_write : read_validity::stale;
}

violation make_violation(const row_index& rows, const recorded_request& read,
                         const statement_result& result, std::string detail) {
    violation found_violation;
    found_violation.detail = std::move(detail) + ": row " + result.row + " read as " +
                             result.value.value_or("(nothing)");
    if (const auto* expected = rows.last_acknowledged(result.row, read)) {
        found_violation.requests.push_back("acknowledged: " + describe(*expected));
    }
    if (const auto* writer = result.value ? rows.writer(result.row, *result.value) : nullptr) {
        found_violation.requests.push_back("writer: " + describe(*writer));
    }
    found_violation.requests.push_back("read: " + describe(read));
    return found_violation;
}

/// Base of the properties that check the value of each completed read of a row that is not a
/// counter.
class read_property : public property {
public:
    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index& rows) const override {
        std::vector<violation> found;
        for (const auto& request : history.requests) {
            check_request(request, rows, found);
        }
        return found;
    }

protected:
    [[nodiscard]] virtual bool violates(const recorded_request& read,
                                        read_validity validity) const = 0;
    [[nodiscard]] virtual std::string detail() const = 0;

private:
    void check_request(const recorded_request& read, const row_index& rows,
                       std::vector<violation>& found) const {
        if (!read.done() || read.writes()) {
            return;
        }
        for (const auto& result : read.results) {
            const bool counter = !rows.adds(result.row).empty();
            if (!counter && violates(read, classify_value(rows, read, result))) {
                found.push_back(make_violation(rows, read, result, detail()));
            }
        }
    }
};

class read_your_writes final : public read_property {
public:
    [[nodiscard]] std::string name() const override { return "read_your_writes"; }

protected:
    [[nodiscard]] bool violates(const recorded_request& read,
                                read_validity validity) const override {
        return validity == read_validity::stale && read.phase == request_phase::load;
    }

    [[nodiscard]] std::string detail() const override {
        return "a session read a value older than its own acknowledged write";
    }
};

class untrue_not_run final : public read_property {
public:
    [[nodiscard]] std::string name() const override { return "untrue_not_run"; }

protected:
    [[nodiscard]] bool violates(const recorded_request&, read_validity validity) const override {
        return validity == read_validity::not_run_write;
    }

    [[nodiscard]] std::string detail() const override {
        return "a session read a value of a write with the outcome not run";
    }
};

class foreign_answer final : public read_property {
public:
    [[nodiscard]] std::string name() const override { return "foreign_answer"; }

    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index& rows) const override {
        auto found = read_property::check(history, rows);
        for (const auto& request : history.requests) {
            if (request.done() && has_foreign_row(request)) {
                found.push_back(
                    {{}, "a response has a row that was not requested", {describe(request)}});
            }
        }
        return found;
    }

protected:
    [[nodiscard]] bool violates(const recorded_request&, read_validity validity) const override {
        return validity == read_validity::foreign;
    }

    [[nodiscard]] std::string detail() const override {
        return "a session read a value that it never wrote";
    }

private:
    static bool has_foreign_row(const recorded_request& request) {
        for (std::size_t i = 0; i < request.results.size(); ++i) {
            if (i >= request.statements.size() ||
                request.results[i].row != request.statements[i].row) {
                return true;
            }
        }
        return false;
    }
};

class lost_acknowledged_write final : public read_property {
public:
    [[nodiscard]] std::string name() const override { return "lost_acknowledged_write"; }

    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index& rows) const override {
        auto found = read_property::check(history, rows);
        for (const auto& request : history.requests) {
            // The session token names the position of acknowledged writes only, so a lost history
            // (status 409) means that acknowledged writes are lost.
            if (!request.writes() && request.status == history_lost_status) {
                found.push_back({{}, "the session's history was lost", {describe(request)}});
            }
        }
        return found;
    }

protected:
    [[nodiscard]] bool violates(const recorded_request& read,
                                read_validity validity) const override {
        return validity == read_validity::stale && read.phase == request_phase::check;
    }

    [[nodiscard]] std::string detail() const override {
        return "an acknowledged write is missing after the load";
    }
};

} // namespace

std::unique_ptr<property> make_read_your_writes() {
    return std::make_unique<read_your_writes>();
}

std::unique_ptr<property> make_lost_acknowledged_write() {
    return std::make_unique<lost_acknowledged_write>();
}

std::unique_ptr<property> make_untrue_not_run() {
    return std::make_unique<untrue_not_run>();
}

std::unique_ptr<property> make_foreign_answer() {
    return std::make_unique<foreign_answer>();
}

} // namespace oriole::load
